package onyxpaddle.measure;

import io.netty.handler.codec.http.HttpHeaders;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import onyxpaddle.drill.ServeProcess;
import onyxpaddle.standin.StandInServer;

/** Processes of one node as the platform starts them, servers that record each attempt, and a discovery by script. */
final class ToldRig implements AutoCloseable {
    /** How lists reach a node. */
    enum Mode { PUSH, ASK }

    /** An attempt as its server saw it begin. */
    record ReceivedAttempt(String server, long at) {
    }

    /** The grace of the rule on drains, and the 50 ms by which each time limit is longer on sockets. */
    static final long GRACE = TimeUnit.MILLISECONDS.toNanos(2_050);

    final ScriptedEndpoints endpoints;
    final List<String> dials;
    final InetSocketAddress listen = ServeProcess.freePort();
    private final Path folder;
    private final Path config;
    private final List<StandInServer> servers = new ArrayList<>();
    private final ConcurrentLinkedQueue<ReceivedAttempt> attempts = new ConcurrentLinkedQueue<>();
    private final List<ServeProcess> processes = new ArrayList<>();

    /** {@code firstScript}: of discovery, given the servers' addresses. */
    ToldRig(Path folder, Mode mode, Function<List<String>, ScriptedEndpoints.Script> firstScript) throws Exception {
        this.folder = Files.createDirectories(folder);
        for (int i = 0; i < ToldNews.SERVERS; i++) {
            servers.add(new StandInServer(ToldNews.name(i), 0).delay(5, 0).watcher(recorder(ToldNews.name(i))));
        }
        dials = servers.stream().map(StandInServer::hostPort).toList();
        endpoints = new ScriptedEndpoints(firstScript.apply(dials));
        config = Files.writeString(folder.resolve("config.json"), config(mode));
    }

    private StandInServer.Watcher recorder(String server) {
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

    private String config(Mode mode) {
        String membership = mode == Mode.PUSH ? "\"membershipMode\":\"push\"" : "\"membershipMode\":\"ask\"";
        String rules = mode == Mode.PUSH ? "\"drainGraceS\":2" : "\"drainGraceS\":2,\"askEveryS\":5";
        return """
            {"name":"told","listen":"%s","discovery":"%s","seed":"7","limits":{"sockets":1024},"known":%s,
             "settings":{"az":"a","areas":["a"],"quantumS":0.002,%s,"weights":"nominal",
              "classes":[{"name":"read","effect":"read_like","aimS":0.3,"deadlineS":0.5,"worth":1}],
              "limits":{"maxAttempts":3,"cancel":true,"secondCopies":true,"retryAfter":true,"maxRetryAfterS":1,
                        "dialTimeoutS":0.2,"keepaliveS":5},"rules":{%s}}}"""
            .formatted(ServeProcess.hostPort(listen), endpoints.address(), ToldNews.known(dials), membership, rules);
    }

    /** Starts a process, which takes the place of one that runs, and waits until it is ready. */
    ServeProcess start() throws IOException, InterruptedException {
        ServeProcess process = ServeProcess.start(config, folder, folder.resolve("process-" + processes.size() + ".log"), Map.of());
        processes.add(process);
        return process.awaitReady();
    }

    List<ReceivedAttempt> attempts() {
        return List.copyOf(attempts);
    }

    /** The attempts at servers that discovery had told to drain or be gone, with the grace over. */
    List<ReceivedAttempt> forbidden() {
        return attempts.stream().filter(attempt -> endpoints.forbids(attempt.server, attempt.at, GRACE)).toList();
    }

    /** The output of all processes so far. */
    String log() throws IOException {
        StringBuilder log = new StringBuilder();
        for (ServeProcess process : processes) {
            log.append(process.log());
        }
        return log.toString();
    }

    @Override
    public void close() throws IOException {
        for (ServeProcess process : processes) {
            process.process().destroyForcibly().onExit().join();
        }
        endpoints.close();
        servers.forEach(StandInServer::close);
    }
}
