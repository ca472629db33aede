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

/** Changes that are many, at once, senseless, or come while nodes start. One fleet: a publisher, two replicas, four nodes. */
class ConfigurationChangesIT {
    /** What operators allow a node in the eight seconds within which a change is in force: 3 KB/s. */
    private static final long MOST_BYTES = 24 * 1024;
    private static final int MANY = 1_000;

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
        publisher.awaitAnswering();
    }

    @AfterAll
    static void end() {
        fleet.close();
    }

    private static Changes next() {
        return Changes.of(Changes.ROUTES, Changes.routesTo("/v" + ++changes));
    }

    private static String newest() {
        return "/v" + changes;
    }

    /** Runs both in one moment, and returns how they ended. */
    private static <T> List<T> atOnce(java.util.concurrent.Callable<T> one, java.util.concurrent.Callable<T> other) throws Exception {
        ExecutorService both = Executors.newFixedThreadPool(2);
        try {
            CountDownLatch go = new CountDownLatch(1);
            List<Future<T>> ends = new ArrayList<>();
            for (java.util.concurrent.Callable<T> task : List.of(one, other)) {
                ends.add(both.submit(() -> {
                    go.await();
                    return task.call();
                }));
            }
            go.countDown();
            return List.of(ends.get(0).get(), ends.get(1).get());
        } finally {
            both.shutdownNow();
        }
    }

    /** What the replica that a node calls knows of it; null while it doesn't. */
    private static NodeReport lineOf(ConfiguredNode node) throws Exception {
        return node.attachedTo().status().nodes().stream().filter(line -> line.node().equals(node.name())).findFirst().orElse(null);
    }

    @Test
    void aNodeThatIsAThousandVersionsBehindGetsOneDifference() throws Exception {
        publisher.publish(next());
        fleet.awaitInForce(newest());
        ConfiguredNode behind = fleet.nodes().get(0);
        ConfigurationVersion left = publisher.status().version();
        behind.process().kill();
        for (int i = 0; i < MANY; i++) {
            publisher.publish(i % 2 == 0 ? next() : Changes.of("node/elsewhere/pools.spare-" + i % 20, spareServers(i)));
        }
        assertEquals(left.number() + MANY, publisher.status().version().number());
        long bytes = behind.controlBytes();
        behind.start();
        behind.awaitInForce(newest());
        long spent = behind.controlBytes() - bytes;
        System.out.println(MANY + " versions behind: caught up with " + spent + " bytes");
        assertTrue(spent <= MOST_BYTES, spent + " bytes");
        assertEquals(List.of(Changes.ROUTES), publisher.told(left).entries().stream().map(entry -> entry.key().toString()).toList());
        assertEquals(false, publisher.told(left).full());
    }

    private static String spareServers(int number) {
        return "servers: [\"127.0.0.1:" + (7000 + number) + "\"]\n";
    }

    @Test
    void twoPublishInOneMomentByTheCommand() throws Exception {
        Path probe = Files.writeString(folder.resolve("probe.yaml"), "{effect: safe, deadline: 3 s}\n");
        Path routes = Files.writeString(folder.resolve("routes.yaml"), Changes.routesTo("/v" + ++changes));
        List<Integer> codes = atOnce(() -> publishByCommand("one", "fleet/classes.probe=" + probe),
            () -> publishByCommand("other", Changes.ROUTES + "=" + routes));
        assertEquals(List.of(0, 0), codes);
        fleet.awaitInForce(newest());
        for (ControlMachine replica : List.of(first, second)) {
            List<String> keys = replica.told(ConfigurationVersion.NONE).entries().stream().map(entry -> entry.key().toString()).toList();
            assertTrue(keys.containsAll(List.of("fleet/classes.probe", Changes.ROUTES)), keys.toString());
        }
    }

    private static int publishByCommand(String name, String change) throws Exception {
        return ProgramProcess.start(folder.resolve(name + ".log"), List.of("control", "publish", "--publisher",
            ServeProcess.text(publisher.address()), "--wait", "30 s", change)).exitCode();
    }

    @Test
    void ofTwoChangesOfOneKeyFromOneBaseOneIsTaken() throws Exception {
        String base = publisher.publish(next()).toString();
        int number = ++changes;
        List<Answer> answers = atOnce(
            () -> publisher.post(Changes.since(base, Changes.ROUTES, Changes.routesTo("/v" + number + "a")), 0),
            () -> publisher.post(Changes.since(base, Changes.ROUTES, Changes.routesTo("/v" + number + "b")), 0));
        assertEquals(List.of(200, 409), answers.stream().map(Answer::status).sorted().toList());
        fleet.awaitInForce("/v" + number + (answers.get(0).status() == 200 ? "a" : "b"));
    }

    @Test
    void aSectionThatIsWrongIsRefusedWithItsPlace() throws Exception {
        ConfigurationVersion before = publisher.status().version();
        Answer answer = publisher.post(Changes.of(Changes.ROUTES, Changes.routesTo("/x")).and("fleet/classes.slow",
            "effect: safe\ndeadline: soon\n"), 0);
        assertEquals(422, answer.status());
        assertTrue(answer.body().contains("fleet/classes.slow:2:11: "), answer.body());
        assertEquals(before, publisher.status().version(), "all of a change or nothing");
    }

    @Test
    void aChangeThatOnlyANodeCanSeeIsWrongStaysOutOfForce() throws Exception {
        publisher.publish(next());
        String good = newest();
        fleet.awaitInForce(good);
        List<SteadyCaller> callers = fleet.nodes().stream().map(node -> new SteadyCaller(node, good)).toList();
        try {
            String wrong = "- {name: probe, listener: in, path: /probe, pool: nowhere, class: probe, rewrite: /wrong}\n";
            ConfigurationVersion refused = publisher.publish(Changes.of(Changes.ROUTES, wrong));
            for (ConfiguredNode node : fleet.nodes()) {
                Await.until(node.name() + " refuses " + refused, () -> {
                    NodeReport line = lineOf(node);
                    return line != null && refused.equals(line.refused());
                }, node.process()::log);
                NodeReport line = lineOf(node);
                assertNotNull(line);
                assertTrue(line.fault().contains(Changes.ROUTES) && line.fault().contains("nowhere"), line.toString());
                assertNotEquals(refused, line.inForce());
                assertTrue(node.process().log().contains("nowhere"), node.process().log());
            }
            for (SteadyCaller caller : callers) {
                int goal = caller.answered() + 50;
                Await.until("fifty more answers", () -> caller.answered() >= goal, () -> "");
                assertEquals(List.of(), caller.end(), caller::nodeLog);
            }
            assertTrue(statusByCommand().contains("nowhere"), "`control status` names the fault");
        } finally {
            for (SteadyCaller caller : callers) {
                caller.end();
            }
        }
        publisher.publish(next());
        fleet.awaitInForce(newest());
    }

    private static String statusByCommand() throws Exception {
        ProgramProcess status = ProgramProcess.start(folder.resolve("status.log"), List.of("control", "status", "--control",
            ServeProcess.text(fleet.nodes().get(0).attachedTo().address())));
        assertEquals(0, status.exitCode(), status.log());
        return status.log();
    }

    @Test
    void halfOfTheNodesStartWhileAChangeComes() throws Exception {
        publisher.publish(next());
        fleet.awaitInForce(newest());
        List<ConfiguredNode> half = IntStream.of(1, 3).mapToObj(fleet.nodes()::get).toList();
        for (ConfiguredNode node : half) {
            node.process().kill();
            node.start();
        }
        publisher.publish(next());
        System.out.println("half of the nodes starting: all in " + fleet.awaitInForce(newest()) + " ms");
    }
}
