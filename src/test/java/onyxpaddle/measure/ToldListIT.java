package onyxpaddle.measure;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.handler.codec.http.HttpHeaders;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import onyxpaddle.drill.ServeProcess;
import onyxpaddle.measure.ToldNews.Left;
import onyxpaddle.standin.StandInServer;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/** A real node sends nothing to a server later than 2 s after discovery wrote that it drains or is gone, whatever else it wrote. */
class ToldListIT {
    /** How lists reach a node. */
    enum Mode { PUSH, ASK }

    /** The grace of the rule on drains, and the 50 ms by which each time limit is longer on sockets. */
    private static final long GRACE = TimeUnit.MILLISECONDS.toNanos(2_050);
    /** Requests that were sent before the grace was over have ended by then. */
    private static final long SETTLING = TimeUnit.SECONDS.toNanos(1);
    private static final int CALLS_PER_SECOND = 100;
    private static final int LIMIT_OF_DISCOVERY_CALLS = 5;
    private static final long WARM_UP_MS = 1_000;
    private static final long OBSERVED_S = 9;
    private static final int SIDE_BY_SIDE = 6;
    /** Servers that come back get traffic at once. */
    private static final long RETURN_LIMIT = TimeUnit.MILLISECONDS.toNanos(200);

    /**
     * What came of one row.
     *
     * @param served requests served once the grace was over, as are {@code unserved}
     * @param sinceTold from the last news to the first attempt after it
     */
    private record Outcome(long forbidden, int discoveryCalls, long served, long unserved, long broken, long sinceTold, String log) {
    }

    private record Case(ToldNews news, Mode mode) {
    }

    private static final ExecutorService PLAYS = Executors.newFixedThreadPool(SIDE_BY_SIDE);
    private static final Map<ToldNews, Map<Mode, Future<Outcome>>> OUTCOMES = new EnumMap<>(ToldNews.class);
    @TempDir
    private static Path folder;

    @BeforeAll
    static void playAllRows() {
        cases().forEach(c -> OUTCOMES.computeIfAbsent(c.news, n -> new EnumMap<>(Mode.class))
            .put(c.mode, PLAYS.submit(() -> play(c.news, c.mode))));
    }

    @AfterAll
    static void end() {
        PLAYS.shutdownNow();
    }

    private static Stream<Case> cases() {
        return Stream.of(ToldNews.values()).flatMap(news -> Stream.of(Mode.values()).map(mode -> new Case(news, mode)));
    }

    static Stream<Arguments> rows() {
        return cases().map(c -> Arguments.of(c.news, c.mode));
    }

    @ParameterizedTest(name = "{0}, {1}")
    @MethodSource("rows")
    void serverThatDrainsOrIsGoneGetsNothingNew(ToldNews news, Mode mode) throws Exception {
        Outcome outcome = OUTCOMES.get(news).get(mode).get();
        System.out.println("told " + news + " " + mode + ": " + outcome);
        assertEquals(0, outcome.forbidden, outcome.toString());
        assertTrue(outcome.discoveryCalls < LIMIT_OF_DISCOVERY_CALLS, outcome.toString());
        assertEquals(0, outcome.broken, outcome.toString());
        if (news.left() == Left.NONE) {
            assertEquals(0, outcome.served, outcome.toString());
            assertTrue(outcome.unserved > 0, outcome.toString());
        } else {
            assertEquals(0, outcome.unserved, outcome.toString());
            assertTrue(outcome.served > 0, outcome.toString());
        }
        if (news.left() == Left.ALL) {
            assertTrue(outcome.sinceTold < RETURN_LIMIT, outcome.toString());
        }
    }

    private record ReceivedAttempt(String server, long at) {
    }

    private static Outcome play(ToldNews news, Mode mode) throws Exception {
        ConcurrentLinkedQueue<ReceivedAttempt> attempts = new ConcurrentLinkedQueue<>();
        List<StandInServer> servers = new ArrayList<>();
        for (int i = 0; i < ToldNews.SERVERS; i++) {
            servers.add(new StandInServer(ToldNews.name(i), 0).delay(5, 0).watcher(recorder(ToldNews.name(i), attempts)));
        }
        List<String> dials = servers.stream().map(StandInServer::hostPort).toList();
        try (ScriptedEndpoints endpoints = new ScriptedEndpoints(ToldNews.allReady(dials))) {
            if (news.fromTheStart()) {
                publish(endpoints, news.steps(dials));
            }
            RunningNode node = start(news, mode, endpoints, dials);
            try {
                return observe(news, node, endpoints, dials, attempts);
            } finally {
                node.process().process().destroyForcibly().onExit().join();
            }
        } finally {
            servers.forEach(StandInServer::close);
        }
    }

    private static Outcome observe(ToldNews news, RunningNode node, ScriptedEndpoints endpoints, List<String> dials,
            ConcurrentLinkedQueue<ReceivedAttempt> attempts) throws Exception {
        node.process().awaitReady();
        try (SteadyLoad load = new SteadyLoad(node.listen(), CALLS_PER_SECOND)) {
            TimeUnit.MILLISECONDS.sleep(WARM_UP_MS);
            long observedFrom = System.nanoTime();
            if (!news.fromTheStart()) {
                publish(endpoints, news.steps(dials));
            }
            while (endpoints.toldAt() + GRACE + SETTLING - System.nanoTime() > 0) {
                TimeUnit.MILLISECONDS.sleep(10);
            }
            SteadyLoad.Counts before = load.counts();
            TimeUnit.NANOSECONDS.sleep(observedFrom + TimeUnit.SECONDS.toNanos(OBSERVED_S) - System.nanoTime());
            SteadyLoad.Counts after = load.counts();
            long forbidden = attempts.stream().filter(a -> endpoints.forbids(a.server, a.at, GRACE)).count();
            long toldAt = endpoints.toldAt();
            long firstAttempt = attempts.stream().mapToLong(a -> a.at - toldAt).filter(since -> since > 0).min().orElse(Long.MAX_VALUE);
            return new Outcome(forbidden, endpoints.mostCallsInASecond(), after.served() - before.served(),
                after.unserved() - before.unserved(), after.broken(), firstAttempt, node.process().log());
        }
    }

    private static void publish(ScriptedEndpoints endpoints, List<ToldNews.Step> steps) throws InterruptedException {
        for (ToldNews.Step step : steps) {
            TimeUnit.MILLISECONDS.sleep(step.afterMs());
            endpoints.publish(step.script(), step.forbidden());
        }
    }

    private static StandInServer.Watcher recorder(String server, ConcurrentLinkedQueue<ReceivedAttempt> attempts) {
        return new StandInServer.Watcher() {
            @Override
            public void headersReceived(HttpHeaders headers) {
                attempts.add(new ReceivedAttempt(server, System.nanoTime()));
            }

            @Override
            public void requestReceived(String effect, SocketAddress from) {
            }

            @Override
            public void requestExecuted(String effect) {
            }
        };
    }

    private record RunningNode(ServeProcess process, InetSocketAddress listen) {
    }

    private static RunningNode start(ToldNews news, Mode mode, ScriptedEndpoints endpoints, List<String> dials) throws IOException {
        InetSocketAddress listen = ServeProcess.freePort();
        String name = news + "-" + mode;
        Path meets = Files.createDirectories(folder.resolve(name));
        String membership = mode == Mode.PUSH ? "\"membershipMode\":\"push\"" : "\"membershipMode\":\"ask\"";
        String rules = mode == Mode.PUSH ? "\"drainGraceS\":2" : "\"drainGraceS\":2,\"askEveryS\":5";
        String config = """
            {"name":"told","listen":"%s","discovery":"%s","seed":"7","limits":{"sockets":1024},"known":%s,
             "settings":{"az":"a","areas":["a"],"quantumS":0.002,%s,"weights":"nominal",
              "classes":[{"name":"read","effect":"read_like","aimS":0.3,"deadlineS":0.5,"worth":1}],
              "limits":{"maxAttempts":3,"cancel":true,"secondCopies":true,"retryAfter":true,"maxRetryAfterS":1,
                        "dialTimeoutS":0.2,"keepaliveS":5},"rules":{%s}}}"""
            .formatted(ServeProcess.hostPort(listen), endpoints.address(), ToldNews.known(dials), membership, rules);
        return new RunningNode(ServeProcess.start(Files.writeString(folder.resolve(name + ".json"), config), meets,
            folder.resolve(name + ".log"), Map.of()), listen);
    }
}
