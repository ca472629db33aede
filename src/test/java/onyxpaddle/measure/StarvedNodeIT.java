package onyxpaddle.measure;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import onyxpaddle.drill.ServeProcess;
import onyxpaddle.measure.DepartingClients.Behaviour;
import onyxpaddle.measure.DepartingClients.Departure;
import onyxpaddle.measure.DepartingClients.Outcome;
import onyxpaddle.standin.ExecutionCounter;
import onyxpaddle.standin.RpcCaller;
import onyxpaddle.standin.StandInRpcServer;
import onyxpaddle.standin.StandInServer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.value.Value;
import org.msgpack.value.ValueFactory;

/** A process that is stopped, or gets little processor time, sends nothing on for clients that have left, and overstates no deadline. */
class StarvedNodeIT {
    private static final int SERVERS = 8;
    private static final long MILLI = 1_000_000L;
    /** Fewer idle connections than a node keeps to its servers, and more than it accepts in one turn. */
    private static final int CLIENTS = 96;
    private static final int ROUNDS = 3;
    private static final int STEADY_PER_SECOND = 300;
    private static final long SETTLE_MS = 400;
    private static final long SPACING = 2_500_000L;
    /** Leaves a process that was stopped time for its requests on a busy machine too; below the deadline of the class. */
    private static final long EXPIRES = 2_000 * MILLI;

    private static PlatformRig rig(AttemptRecorder recorder) throws Exception {
        PlatformRig rig = new PlatformRig(SERVERS);
        rig.servers.forEach(s -> s.delay(5, 5).watcher(recorder));
        return rig;
    }

    /** Leaves idle connections to the servers behind, so that the next requests need no dial. */
    private static void warmUp(PlatformRig rig, String prefix) throws Exception {
        DepartingClients clients = new DepartingClients(new Behaviour(CLIENTS, true, 0, 1_000 * MILLI, 60 * MILLI, 0, Departure.CLOSE),
            prefix).connect(rig.listen);
        clients.run(rig.listen);
    }

    @ParameterizedTest(name = "{0}, kept {1}, pipelined {2}, stopped for {3} ms")
    @CsvSource({"CLOSE, false, 0, 150", "CLOSE, false, 0, 300", "RESET, false, 0, 300", "HALF_CLOSE, false, 0, 300", "CLOSE, true, 0, 150",
        "HALF_CLOSE, true, 0, 150", "CLOSE, false, 3, 300", "CLOSE, true, 3, 150", "CLOSE, false, 0, 500", "CLOSE, true, 0, 2000"})
    void requestOfAClientThatLeftWhileTheProcessWasStoppedIsNotSentOn(Departure departure, boolean kept, int pipelined, long stoppedMs)
            throws Exception {
        AttemptRecorder recorder = new AttemptRecorder();
        List<String> sentOn = new ArrayList<>();
        try (PlatformRig rig = rig(recorder)) {
            ServeProcess node = rig.start(false);
            for (int round = 0; round < ROUNDS; round++) {
                warmUp(rig, "w" + round);
                DepartingClients clients = new DepartingClients(new Behaviour(CLIENTS, kept, pipelined, 200 * MILLI, 0, 0, departure),
                    "r" + round).connect(rig.listen);
                StarvedProcess.stop(node.process().pid());
                clients.run(rig.listen);
                // The fault itself, and no wait for something.
                TimeUnit.MILLISECONDS.sleep(stoppedMs);
                long continuedAt = System.nanoTime();
                StarvedProcess.resume(node.process().pid());
                TimeUnit.MILLISECONDS.sleep(SETTLE_MS);
                clients.close();
                clients.leftBefore(continuedAt - DepartingClients.DEPARTURE_GRACE).stream()
                    .filter(id -> !recorder.attempts(id).isEmpty()).forEach(sentOn::add);
            }
        }
        assertEquals(List.of(), sentOn);
    }

    @ParameterizedTest(name = "kept {0}")
    @ValueSource(booleans = {false, true})
    void requestOfAClientThatLeftAStarvedProcessIsNotSentOn(boolean kept) throws Exception {
        Outcome outcome = starved(new Behaviour(400, kept, 0, 200 * MILLI, 200 * MILLI, SPACING, Departure.CLOSE), false);
        assertEquals(0, outcome.late(), outcome.toString());
    }

    @Test
    void requestOfAClientThatLeftAProcessThatHasJustStartedIsNotSentOn() throws Exception {
        Outcome outcome = starved(new Behaviour(400, false, 0, 200 * MILLI, 200 * MILLI, MILLI, Departure.CLOSE), true);
        assertEquals(0, outcome.late(), outcome.toString());
    }

    @ParameterizedTest(name = "kept {0}")
    @ValueSource(booleans = {false, true})
    void starvedProcessTellsServersNoMoreTimeThanIsLeft(boolean kept) throws Exception {
        Outcome outcome = starved(new Behaviour(300, kept, 0, 600 * MILLI, 600 * MILLI, SPACING, Departure.CLOSE), false);
        assertEquals(0, outcome.overstated(), outcome.toString());
    }

    private static Outcome starved(Behaviour behaviour, boolean justStarted) throws Exception {
        AttemptRecorder recorder = new AttemptRecorder();
        try (PlatformRig rig = rig(recorder)) {
            ServeProcess node = rig.start(false);
            SteadyLoad steady = new SteadyLoad(rig.listen, STEADY_PER_SECOND);
            try {
                if (!justStarted) {
                    warmUp(rig, "w");
                }
                DepartingClients clients = new DepartingClients(behaviour, "r").connect(rig.listen);
                StarvedProcess starvation = new StarvedProcess(node.process().pid(), 10, 100);
                try {
                    clients.run(rig.listen);
                    TimeUnit.MILLISECONDS.sleep(SETTLE_MS);
                } finally {
                    starvation.close();
                }
                TimeUnit.MILLISECONDS.sleep(SETTLE_MS);
                return clients.outcome(recorder);
            } finally {
                steady.close();
            }
        }
    }

    @ParameterizedTest(name = "kept {0}, pipelined {1}, stopped for {2} ms")
    @CsvSource({"false, 0, 300", "true, 0, 300", "false, 3, 300", "true, 3, 300", "false, 0, 500"})
    void processThatWasStoppedTellsServersNoMoreTimeThanIsLeft(boolean kept, int pipelined, long stoppedMs) throws Exception {
        AttemptRecorder recorder = new AttemptRecorder();
        List<Outcome> outcomes = new ArrayList<>();
        try (PlatformRig rig = rig(recorder)) {
            ServeProcess node = rig.start(false);
            for (int round = 0; round < ROUNDS; round++) {
                warmUp(rig, "w" + round);
                DepartingClients clients = new DepartingClients(new Behaviour(CLIENTS, kept, pipelined, EXPIRES, EXPIRES, 0,
                    Departure.CLOSE), "r" + round).connect(rig.listen);
                StarvedProcess.stop(node.process().pid());
                CompletableFuture<Void> run = CompletableFuture.runAsync(() -> runUnchecked(clients, rig));
                TimeUnit.MILLISECONDS.sleep(stoppedMs);
                long continuedAt = System.nanoTime();
                StarvedProcess.resume(node.process().pid());
                run.join();
                // What was left as the process went on is at least what was left as it sent the request.
                outcomes.add(clients.outcome(recorder, continuedAt));
            }
        }
        assertTrue(outcomes.stream().allMatch(o -> o.overstated() == 0), outcomes.toString());
        assertTrue(outcomes.stream().allMatch(o -> o.sentOn() > 0), outcomes.toString());
    }

    private static void runUnchecked(DepartingClients clients, PlatformRig rig) {
        try {
            clients.run(rig.listen);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    @ParameterizedTest
    @EnumSource(Departure.class)
    void callOfAnRpcCallerThatLeftWhileTheProcessWasStoppedIsNotSentOn(Departure departure) throws Exception {
        ExecutionCounter executions = new ExecutionCounter();
        List<String> sentOn = new ArrayList<>();
        try (StandInServer http = new StandInServer("s", 0, executions); StandInRpcServer rpc = new StandInRpcServer("s", 0, executions);
                NodeProcess node = NodeProcess.start(RPC_CONFIG, 2, http.hostPort(), rpc.hostPort());
                RpcCaller staying = new RpcCaller(node.listener(1))) {
            for (int round = 0; round < ROUNDS; round++) {
                assertTrue(staying.callAndWait("look.up", text("stays" + round)).ok());
                DepartingClients callers = new DepartingClients(new Behaviour(CLIENTS, false, 0, 200 * MILLI, 0, 0, departure), "r" + round,
                    (id, expires) -> rpcCall(id));
                StarvedProcess.stop(node.pid());
                callers.connect(node.listener(1)).run(node.listener(1));
                TimeUnit.MILLISECONDS.sleep(300);
                long continuedAt = System.nanoTime();
                StarvedProcess.resume(node.pid());
                TimeUnit.MILLISECONDS.sleep(SETTLE_MS);
                assertTrue(staying.callAndWait("look.up", text("after" + round)).ok());
                callers.close();
                callers.leftBefore(continuedAt - DepartingClients.DEPARTURE_GRACE).stream().filter(id -> executions.runs(id) > 0)
                    .forEach(sentOn::add);
            }
        }
        assertEquals(List.of(), sentOn);
    }

    private static final String RPC_CONFIG = """
        version: 1
        name: starved
        listeners:
          http: {address: "127.0.0.1:%d"}
          calls: {address: "127.0.0.1:%d", protocol: messagepack-rpc}
        classes:
          look: {effect: safe, deadline: 5 s}
        pools:
          records: {servers: [{id: s, address: "%s", rpc: "%s"}]}
        routes:
          - {name: look, listener: http, path: /look, pool: records, class: look}
        procedures:
          - {name: look, listener: calls, procedure: "look.*", pool: records, class: look}
        """;

    private static Value text(String text) {
        return ValueFactory.newString(text);
    }

    private static byte[] rpcCall(String id) {
        try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
            packer.packArrayHeader(4).packInt(0).packInt(1).packString("look.up").packArrayHeader(1).packString(id);
            return packer.toByteArray();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
