package onyxpaddle.serve;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import onyxpaddle.config.HostPort;
import onyxpaddle.control.ControlClient;
import onyxpaddle.control.ControlProcess;
import onyxpaddle.control.ControlSettings;
import onyxpaddle.distribution.ConfigurationVersion;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** A node with real control processes: a publisher and two replicas. */
class NodeWithControlTest {
    private static final Duration TIMEOUT = Duration.ofSeconds(20);
    private static final HostPort ANY = new HostPort("127.0.0.1", 0);

    @TempDir
    private Path folder;
    private final ControlClient client = new ControlClient();
    private final List<ControlProcess> replicas = new ArrayList<>();
    private ControlProcess publisher;
    private HollowNode node;

    @BeforeEach
    void startAll() throws Exception {
        publisher = start("p", 1, List.of());
        replicas.add(start("r1", 0, List.of(at(publisher))));
        replicas.add(start("r2", 0, List.of(at(publisher))));
        node = new HollowNode(folder.resolve("node"), replicas.stream().map(ControlProcess::address).toList());
        node.start().get(20, TimeUnit.SECONDS);
    }

    @AfterEach
    void stopAll() throws Exception {
        node.close();
        replicas.forEach(ControlProcess::close);
        publisher.close();
    }

    private ControlProcess start(String id, long epoch, List<HostPort> follow) throws Exception {
        return ControlProcess.start(new ControlSettings(ANY, id, folder.resolve(id), epoch, List.of(), follow,
            ControlSettings.DEFAULT_FULL_UPDATE_RATE));
    }

    private static HostPort at(ControlProcess process) {
        return new HostPort("127.0.0.1", process.address().getPort());
    }

    private void publish(String key, String value) throws Exception {
        String body = "{\"changes\":[{\"key\":\"" + key + "\",\"value\":\"" + value.replace("\"", "\\\"") + "\"}]}";
        ControlClient.Response answer = client.post(at(publisher), "/v1/changes", body.getBytes(StandardCharsets.UTF_8), TIMEOUT, 1 << 20);
        assertEquals(200, answer.status(), answer.text());
    }

    private String status(ControlProcess process) {
        try {
            return client.get(at(process), "/v1/status", TIMEOUT, 1 << 20).text();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    private static String app(int attempts) {
        return "{servers: [\"127.0.0.1:7001\"], attempts: " + attempts + "}";
    }

    @Test
    void changeReachesTheNodeAndItsStatusReachesTheReplicas() throws Exception {
        publish("service/booking/pools.app", app(5));
        node.awaitAttempts(5);
        Loopback.await(() -> replicas.stream().anyMatch(r -> status(r).contains("\"in_force\":\"1.1\"")));
        // Each value is valid by itself. Only the node, which knows the complete configuration, finds that no route leads to the pool.
        publish("service/booking/pools.other", app(1));
        Loopback.await(() -> replicas.stream().anyMatch(r -> status(r).contains("service/booking/pools.other:1:1: pools.other: no route")));
        assertEquals(new ConfigurationVersion(1, 2), node.configuration.currentStatus().refused());
        publish("service/booking/pools.other", "null");
        Loopback.await(() -> node.configuration.currentStatus().inForce().equals(new ConfigurationVersion(1, 3)));
    }

    /** One replica is stopped and started again, then the other; the node misses no change. */
    @Test
    void nodeSwitchesToAnotherReplica() throws Exception {
        for (int i = 0; i < 2; i++) {
            replicas.get(i).close();
            publish("service/booking/pools.app", app(5 + i));
            node.awaitAttempts(5 + i);
            // At the same address, so that the node finds it.
            HostPort same = at(replicas.get(i));
            String id = "r" + (i + 1);
            replicas.set(i, ControlProcess.start(new ControlSettings(same, id, folder.resolve(id), 0, List.of(), List.of(at(publisher)),
                ControlSettings.DEFAULT_FULL_UPDATE_RATE)));
        }
        assertTrue(node.configuration.currentStatus().inForce().equals(new ConfigurationVersion(1, 2)));
    }
}
