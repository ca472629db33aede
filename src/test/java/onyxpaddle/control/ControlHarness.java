package onyxpaddle.control;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.fail;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.Predicate;
import java.util.stream.Stream;
import onyxpaddle.config.HostPort;
import onyxpaddle.control.ControlClient.Response;
import onyxpaddle.distribution.ConfigurationTable.Change;
import onyxpaddle.distribution.ConfigurationVersion;
import onyxpaddle.distribution.Entry;
import onyxpaddle.distribution.EntryKey;
import onyxpaddle.distribution.Update;
import onyxpaddle.distribution.UpdateJson;

/** Runs control processes in this JVM on ephemeral ports, and sends requests to them. */
final class ControlHarness implements AutoCloseable {
    static final EntryKey CLASS = EntryKey.parse("service/booking/classes.look-up");
    static final EntryKey OTHER = EntryKey.parse("service/reminders/classes.look-up");
    private static final HostPort ANY_PORT = new HostPort("127.0.0.1", 0);
    /** Generous, as only a failure takes so long. */
    private static final Duration TIMEOUT = Duration.ofSeconds(30);

    private final Path folder;
    private final HttpClient client = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    private final ControlClient controlClient = new ControlClient();
    private final List<ControlProcess> processes = new ArrayList<>();

    ControlHarness(Path folder) {
        this.folder = folder;
    }

    Path state(String id) {
        return folder.resolve(id);
    }

    ControlProcess publisher(String id, long epoch, HostPort... takeOverFrom) throws Exception {
        return start(new ControlSettings(ANY_PORT, id, state(id), epoch, List.of(takeOverFrom), List.of(),
            ControlSettings.DEFAULT_FULL_UPDATE_RATE));
    }

    ControlProcess replica(String id, HostPort... follow) throws Exception {
        return start(new ControlSettings(ANY_PORT, id, state(id), 0, List.of(), List.of(follow), ControlSettings.DEFAULT_FULL_UPDATE_RATE));
    }

    ControlProcess start(ControlSettings settings) throws Exception {
        ControlProcess process = ControlProcess.start(settings);
        processes.add(process);
        return process;
    }

    void stop(ControlProcess process) {
        processes.remove(process);
        process.close();
    }

    static HostPort at(ControlProcess process) {
        return new HostPort("127.0.0.1", process.address().getPort());
    }

    /** Returns a valid class with this deadline. */
    static String deadline(int millis) {
        return "effect: safe\ndeadline: " + millis + " ms\n";
    }

    static byte[] changes(ConfigurationVersion base, Change... changes) {
        return ChangeJson.write(new ChangeRequest(base, List.of(changes)));
    }

    Response post(ControlProcess to, String query, byte[] body) throws Exception {
        return controlClient.post(at(to), "/v1/changes" + query, body, TIMEOUT, 1 << 20);
    }

    /** Publishes without waiting for replicas, and returns the version. */
    ConfigurationVersion publish(ControlProcess to, Change... changes) throws Exception {
        Response response = post(to, "", changes(null, changes));
        assertEquals(200, response.status(), response.text());
        return ConfigurationVersion.parse(PublishAnswer.read(response.body()).version());
    }

    Response get(ControlProcess from, String uri) throws Exception {
        return controlClient.get(at(from), uri, TIMEOUT, 64 << 20);
    }

    /** Returns the update that a node of the booking service receives. */
    Update fetchUpdate(ControlProcess by, ConfigurationVersion after, int waitMs) throws Exception {
        Response response = get(by, uri("n1", "booking", after, waitMs));
        assertEquals(200, response.status(), response.text());
        return UpdateJson.read(response.body());
    }

    /** Sends a node's request that may wait 10 s. */
    CompletableFuture<Update> longPoll(ControlProcess at, String node, ConfigurationVersion after) {
        HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + at(at) + uri(node, "booking", after, 10_000))).build();
        return client.sendAsync(request, HttpResponse.BodyHandlers.ofByteArray()).thenApply(response -> {
            try {
                return UpdateJson.read(response.body());
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        });
    }

    static String uri(String node, String service, ConfigurationVersion after, int waitMs) {
        return "/v1/configuration?node=" + node + "&service=" + service + "&epoch=" + after.epoch() + "&after=" + after.number()
            + "&wait_ms=" + waitMs;
    }

    Status status(ControlProcess of) throws Exception {
        return StatusJson.read(get(of, "/v1/status").body());
    }

    /** Polls the status until the condition holds. */
    Status await(ControlProcess of, Predicate<Status> condition) throws Exception {
        long until = System.nanoTime() + TIMEOUT.toNanos();
        Status status = status(of);
        while (!condition.test(status)) {
            if (System.nanoTime() - until > 0) {
                fail("still " + status);
            }
            status = status(of);
        }
        return status;
    }

    static Stream<String> values(Update update) {
        return update.entries().stream().map(Entry::value);
    }

    static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    @Override
    public void close() {
        processes.forEach(ControlProcess::close);
    }
}
