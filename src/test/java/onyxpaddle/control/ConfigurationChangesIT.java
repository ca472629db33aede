package onyxpaddle.control;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.stream.IntStream;
import onyxpaddle.control.ControlMachine.Answer;
import onyxpaddle.distribution.ConfigurationVersion;
import onyxpaddle.drill.ServeProcess;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Changes that are numerous, concurrent or invalid, or published while nodes start. All tests share a fleet of a publisher, two replicas
 * and four nodes.
 */
class ConfigurationChangesIT {
    /** A node's traffic budget of 3 KB/s, over the 8 s within which a change must be in force. */
    private static final long MAX_BYTES = 24 * 1024;
    private static final int VERSIONS_BEHIND = 1_000;

    @TempDir
    private static Path folder;
    private static ControlFleet fleet;
    private static ControlMachine publisher;
    private static ControlMachine first;
    private static ControlMachine second;
    private static int changes;

    @BeforeAll
    static void start() throws Exception {
        fleet = new ControlFleet(folder);
        publisher = fleet.machine("publisher").startPublisher();
        first = fleet.machine("first");
        second = fleet.machine("second");
        fleet.startReplica(first, publisher, second);
        fleet.startReplica(second, publisher, first);
        for (int i = 0; i < 4; i++) {
            fleet.startNode("n" + i, first, second);
        }
        publisher.awaitReady();
    }

    @AfterAll
    static void end() {
        fleet.close();
    }

    private static ChangeBody next() {
        return ChangeBody.of(ChangeBody.ROUTES, ChangeBody.routesTo("/v" + ++changes));
    }

    private static String newest() {
        return "/v" + changes;
    }

    /** Runs both tasks concurrently, and returns their results. */
    private static <T> List<T> runConcurrently(java.util.concurrent.Callable<T> one, java.util.concurrent.Callable<T> other)
            throws Exception {
        ExecutorService both = Executors.newFixedThreadPool(2);
        try {
            CountDownLatch start = new CountDownLatch(1);
            List<Future<T>> results = new ArrayList<>();
            for (java.util.concurrent.Callable<T> task : List.of(one, other)) {
                results.add(both.submit(() -> {
                    start.await();
                    return task.call();
                }));
            }
            start.countDown();
            return List.of(results.get(0).get(), results.get(1).get());
        } finally {
            both.shutdownNow();
        }
    }

    /** Returns the last report of a node at the replica that it uses; null if there is none yet. */
    private static NodeReport reportOf(ConfiguredNode node) throws Exception {
        return node.activeControl().status().nodes().stream().filter(report -> report.node().equals(node.name())).findFirst().orElse(null);
    }

    @Test
    void aNodeAThousandVersionsBehindCatchesUpWithOneDelta() throws Exception {
        publisher.publish(next());
        fleet.awaitInForce(newest());
        ConfiguredNode behind = fleet.nodes().get(0);
        ConfigurationVersion held = publisher.status().version();
        behind.process().kill();
        for (int i = 0; i < VERSIONS_BEHIND; i++) {
            publisher.publish(i % 2 == 0 ? next() : ChangeBody.of("node/elsewhere/pools.spare-" + i % 20, poolWithServer(i)));
        }
        assertEquals(held.number() + VERSIONS_BEHIND, publisher.status().version().number());
        long bytes = behind.controlBytes();
        behind.start();
        behind.awaitInForce(newest());
        long spent = behind.controlBytes() - bytes;
        System.out.println(VERSIONS_BEHIND + " versions behind: caught up with " + spent + " bytes");
        assertTrue(spent <= MAX_BYTES, spent + " bytes");
        assertEquals(List.of(ChangeBody.ROUTES),
            publisher.fetchUpdate(held).entries().stream().map(entry -> entry.key().toString()).toList());
        assertEquals(false, publisher.fetchUpdate(held).full());
    }

    private static String poolWithServer(int number) {
        return "servers: [\"127.0.0.1:" + (7000 + number) + "\"]\n";
    }

    @Test
    void twoConcurrentPublishCommandsBothSucceed() throws Exception {
        Path probe = Files.writeString(folder.resolve("probe.yaml"), "{effect: safe, deadline: 3 s}\n");
        Path routes = Files.writeString(folder.resolve("routes.yaml"), ChangeBody.routesTo("/v" + ++changes));
        List<Integer> codes = runConcurrently(() -> publishByCommand("one", "fleet/classes.probe=" + probe),
            () -> publishByCommand("other", ChangeBody.ROUTES + "=" + routes));
        assertEquals(List.of(0, 0), codes);
        fleet.awaitInForce(newest());
        for (ControlMachine replica : List.of(first, second)) {
            List<String> keys = replica.fetchUpdate(ConfigurationVersion.NONE).entries().stream()
                .map(entry -> entry.key().toString()).toList();
            assertTrue(keys.containsAll(List.of("fleet/classes.probe", ChangeBody.ROUTES)), keys.toString());
        }
    }

    private static int publishByCommand(String name, String change) throws Exception {
        return ProgramProcess.start(folder.resolve(name + ".log"), List.of("control", "publish", "--publisher",
            ServeProcess.hostPort(publisher.address()), "--wait", "30 s", change)).exitCode();
    }

    @Test
    void ofTwoConflictingChangesOneIsAccepted() throws Exception {
        String base = publisher.publish(next()).toString();
        int number = ++changes;
        List<Answer> answers = runConcurrently(
            () -> publisher.post(ChangeBody.since(base, ChangeBody.ROUTES, ChangeBody.routesTo("/v" + number + "a")), 0),
            () -> publisher.post(ChangeBody.since(base, ChangeBody.ROUTES, ChangeBody.routesTo("/v" + number + "b")), 0));
        assertEquals(List.of(200, 409), answers.stream().map(Answer::status).sorted().toList());
        fleet.awaitInForce("/v" + number + (answers.get(0).status() == 200 ? "a" : "b"));
    }

    @Test
    void anInvalidSectionIsRefusedWithItsLocation() throws Exception {
        ConfigurationVersion before = publisher.status().version();
        Answer answer = publisher.post(ChangeBody.of(ChangeBody.ROUTES, ChangeBody.routesTo("/x")).and("fleet/classes.slow",
            "effect: safe\ndeadline: soon\n"), 0);
        assertEquals(422, answer.status());
        assertTrue(answer.body().contains("fleet/classes.slow:2:11: "), answer.body());
        assertEquals(before, publisher.status().version(), "changes are atomic");
    }

    @Test
    void aChangeThatOnlyNodesCanRejectDoesNotComeIntoForce() throws Exception {
        publisher.publish(next());
        String good = newest();
        fleet.awaitInForce(good);
        List<ContinuousCaller> callers = fleet.nodes().stream().map(node -> new ContinuousCaller(node, good)).toList();
        try {
            String wrong = "- {name: probe, listener: in, path: /probe, pool: nowhere, class: probe, rewrite: /wrong}\n";
            ConfigurationVersion refused = publisher.publish(ChangeBody.of(ChangeBody.ROUTES, wrong));
            for (ConfiguredNode node : fleet.nodes()) {
                Await.until(node.name() + " refuses " + refused, () -> {
                    NodeReport report = reportOf(node);
                    return report != null && refused.equals(report.refused());
                }, node.process()::log);
                NodeReport report = reportOf(node);
                assertNotNull(report);
                assertTrue(report.fault().contains(ChangeBody.ROUTES) && report.fault().contains("nowhere"), report.toString());
                assertNotEquals(refused, report.inForce());
                assertTrue(node.process().log().contains("nowhere"), node.process().log());
            }
            for (ContinuousCaller caller : callers) {
                int goal = caller.answered() + 50;
                Await.until("50 more answers", () -> caller.answered() >= goal, () -> "");
                assertEquals(List.of(), caller.end(), caller::nodeLog);
            }
            assertTrue(statusByCommand().contains("nowhere"), "`control status` names the fault");
        } finally {
            for (ContinuousCaller caller : callers) {
                caller.end();
            }
        }
        publisher.publish(next());
        fleet.awaitInForce(newest());
    }

    private static String statusByCommand() throws Exception {
        ProgramProcess status = ProgramProcess.start(folder.resolve("status.log"), List.of("control", "status", "--control",
            ServeProcess.hostPort(fleet.nodes().get(0).activeControl().address())));
        assertEquals(0, status.exitCode(), status.log());
        return status.log();
    }

    @Test
    void aChangeReachesNodesThatAreStarting() throws Exception {
        publisher.publish(next());
        fleet.awaitInForce(newest());
        List<ConfiguredNode> half = IntStream.of(1, 3).mapToObj(fleet.nodes()::get).toList();
        for (ConfiguredNode node : half) {
            node.process().kill();
            node.start();
        }
        publisher.publish(next());
        System.out.println("half of the nodes starting: in force on all nodes after " + fleet.awaitInForce(newest()) + " ms");
    }
}
