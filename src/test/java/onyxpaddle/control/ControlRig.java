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

/** Control processes in this JVM, on ports that the system chooses, and calls to them. */
final class ControlRig implements AutoCloseable {
    static final EntryKey CLASS = EntryKey.parse("service/booking/classes.look-up");
    static final EntryKey OTHER = EntryKey.parse("service/reminders/classes.look-up");
    private static final HostPort ANY = new HostPort("127.0.0.1", 0);
    /** For what comes at once; only a failure takes so long. */
    private static final Duration END = Duration.ofSeconds(30);

    private final Path folder;
    private final HttpClient client = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    private final ControlClient blocking = new ControlClient();
    private final List<ControlProcess> processes = new ArrayList<>();

    ControlRig(Path folder) {
        this.folder = folder;
    }

    Path state(String id) {
        return folder.resolve(id);
    }

    ControlProcess publisher(String id, long epoch, HostPort... takeOverFrom) throws Exception {
        return start(new ControlSettings(ANY, id, state(id), epoch, List.of(takeOverFrom), List.of(), ControlSettings.DEFAULT_FULL_UPDATE_RATE));
    }

    ControlProcess replica(String id, HostPort... follow) throws Exception {
        return start(new ControlSettings(ANY, id, state(id), 0, List.of(), List.of(follow), ControlSettings.DEFAULT_FULL_UPDATE_RATE));
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

    /** A class with this deadline, as a sound value. */
    static String deadline(int millis) {
        return "effect: safe\ndeadline: " + millis + " ms\n";
    }

    static byte[] changes(ConfigurationVersion base, Change... changes) {
        return ChangeJson.write(new ChangeRequest(base, List.of(changes)));
    }

    Response post(ControlProcess to, String query, byte[] body) throws Exception {
        return blocking.post(at(to), "/v1/changes" + query, body, END, 1 << 20);
    }

    /** Publishes without waiting for replicas, and gives the version. */
    ConfigurationVersion publish(ControlProcess to, Change... changes) throws Exception {
        Response response = post(to, "", changes(null, changes));
        assertEquals(200, response.status(), response.text());
        return ConfigurationVersion.parse(PublishAnswer.read(response.body()).version());
    }

    Response get(ControlProcess from, String uri) throws Exception {
        return blocking.get(at(from), uri, END, 64 << 20);
    }

    /** What a node of the booking service is told. */
    Update told(ControlProcess by, ConfigurationVersion after, int waitMs) throws Exception {
        Response response = get(by, uri("n1", "booking", after, waitMs));
        assertEquals(200, response.status(), response.text());
        return UpdateJson.read(response.body());
    }

    /** A node's call that may wait. */
    CompletableFuture<Update> waiting(ControlProcess at, String node, ConfigurationVersion after) {
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

    /** Asks until the status is as awaited. */
    Status await(ControlProcess of, Predicate<Status> awaited) throws Exception {
        long until = System.nanoTime() + END.toNanos();
        Status status = status(of);
        while (!awaited.test(status)) {
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
