package onyxpaddle.control;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import onyxpaddle.distribution.ConfigurationVersion;
import onyxpaddle.distribution.Update;
import onyxpaddle.distribution.UpdateJson;
import onyxpaddle.drill.ServeProcess;

/** A control machine: an address, a disk, and the process that currently runs there. A restart uses the same address and disk. */
final class ControlMachine {
    record Answer(int status, String body) {
    }

    private static final Pattern VERSION = Pattern.compile("\"version\":\"([0-9.]+)\"");
    private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(30);
    private final HttpClient client = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).connectTimeout(REQUEST_TIMEOUT).build();
    private final String name;
    private final InetSocketAddress address = ServeProcess.freePort();
    private final Path folder;
    private ProgramProcess process;
    /** The role arguments of the last start. */
    private List<String> role = List.of();

    /** @param folder for its log and its state */
    ControlMachine(String name, Path folder) throws IOException {
        this.name = name;
        this.folder = Files.createDirectories(folder);
    }

    String name() {
        return name;
    }

    InetSocketAddress address() {
        return address;
    }

    Path state() {
        return folder.resolve("state");
    }

    /** Starts it as the publisher of the first epoch. */
    ControlMachine startPublisher() throws IOException {
        return start(List.of("--publisher", "--epoch", "1"));
    }

    /** Starts it as the publisher of that epoch, which takes over the state of the processes at the addresses {@code from}. */
    ControlMachine startTakeOver(long epoch, String... from) throws IOException {
        return start(List.of("--publisher", "--epoch", Long.toString(epoch), "--take-over-from", String.join(",", from)));
    }

    /** Starts it as a replica that follows the processes at these addresses. */
    ControlMachine startReplica(List<String> follows) throws IOException {
        return start(List.of("--follow", String.join(",", follows)));
    }

    /** Starts it in the role of the last start. */
    ControlMachine restart() throws IOException {
        return start(role);
    }

    private ControlMachine start(List<String> as) throws IOException {
        role = as;
        List<String> arguments = new ArrayList<>(List.of("control", "serve", "--listen", ServeProcess.hostPort(address), "--id", name,
            "--state", state().toString()));
        arguments.addAll(role);
        process = ProgramProcess.start(folder.resolve(name + ".log"), arguments);
        return this;
    }

    /** Waits until it answers; fails if the process exits. */
    ControlMachine awaitReady() throws InterruptedException {
        Await.until(name + " answers", () -> {
            if (!process.isAlive()) {
                throw new AssertionError(name + " exited: " + process.log());
            }
            return get("/v1/status").status() == 200;
        }, process::log);
        return this;
    }

    ProgramProcess process() {
        return process;
    }

    // ---- requests ----

    Answer get(String path) throws IOException, InterruptedException {
        return call(request(path).GET().build());
    }

    /** Publishes; is answered once the change is durable and {@code acks} replicas hold it, or after a second. */
    Answer post(ChangeBody changes, int acks) throws IOException, InterruptedException {
        return call(request("/v1/changes?acks=" + acks + "&wait_ms=1000").POST(BodyPublishers.ofString(changes.json())).build());
    }

    private HttpRequest.Builder request(String path) {
        return HttpRequest.newBuilder(URI.create("http://" + ServeProcess.hostPort(address) + path)).timeout(REQUEST_TIMEOUT);
    }

    private Answer call(HttpRequest request) throws IOException, InterruptedException {
        HttpResponse<String> response = client.send(request, BodyHandlers.ofString());
        return new Answer(response.statusCode(), response.body());
    }

    /** Publishes and returns the version; fails unless the status is 200. */
    ConfigurationVersion publish(ChangeBody changes) throws IOException, InterruptedException {
        Answer answer = post(changes, 0);
        if (answer.status() != 200) {
            throw new AssertionError(name + " answered a valid change with: " + answer);
        }
        return versionOf(answer);
    }

    /** Returns the version in the answer to a change. */
    static ConfigurationVersion versionOf(Answer answer) {
        Matcher version = VERSION.matcher(answer.body());
        assertTrue(version.find(), answer.body());
        return ConfigurationVersion.parse(version.group(1));
    }

    Status status() throws IOException, InterruptedException {
        Answer answer = get("/v1/status");
        if (answer.status() != 200) {
            throw new IOException(name + " did not return its status: " + answer);
        }
        return StatusJson.read(answer.body().getBytes(StandardCharsets.UTF_8));
    }

    /** Returns the update it sends for that version; the request is listed as one of a node named `probe`. */
    Update fetchUpdate(ConfigurationVersion after) throws Exception {
        Answer answer = get("/v1/configuration?node=probe&service=" + ChangeBody.SERVICE + "&epoch=" + after.epoch() + "&after="
            + after.number() + "&wait_ms=0");
        if (answer.status() != 200) {
            throw new IOException(name + " did not return an update: " + answer);
        }
        return UpdateJson.read(answer.body().getBytes(StandardCharsets.UTF_8));
    }

    /** Kills the process, if there is one. */
    void end() throws InterruptedException {
        if (process != null) {
            process.kill();
        }
    }
}
