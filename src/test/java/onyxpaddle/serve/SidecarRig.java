package onyxpaddle.serve;

import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.nio.file.Path;
import java.time.Duration;
import onyxpaddle.config.Faults;
import onyxpaddle.config.MachineLimits;
import onyxpaddle.config.NodeConfig;
import onyxpaddle.config.NodeConfigReader;
import onyxpaddle.config.SourceFile;
import onyxpaddle.config.Value;
import onyxpaddle.standin.StandInServer;

/** A sidecar on loopback, started from configuration text, and an ordinary HTTP client. */
final class SidecarRig implements AutoCloseable {
    static final Duration TIMEOUT = Duration.ofSeconds(20);

    final Sidecar node;
    final HttpClient client = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

    SidecarRig(String config) throws Exception {
        node = Sidecar.start(config(config));
    }

    /** Reads configuration text; throws if it has faults. */
    static NodeConfig config(String text) {
        Faults faults = new Faults();
        Value value = SourceFile.parse("test.yaml", text, faults);
        NodeConfig config = value == null ? null
            : NodeConfigReader.read(value, Path.of("."), MachineLimits.UNKNOWN, faults);
        if (faults.any()) {
            throw new IllegalArgumentException(faults.list().toString());
        }
        return config;
    }

    /** A configuration with one listener {@code in}, two classes, and one pool {@code app} of these servers and {@code poolLines}. */
    static String simpleConfig(String poolLines, StandInServer... servers) {
        StringBuilder list = new StringBuilder();
        for (StandInServer server : servers) {
            list.append(list.length() == 0 ? "" : ", ").append(server.hostPort());
        }
        return """
            version: 1
            name: rig
            listeners:
              in: {address: "127.0.0.1:0"}
            classes:
              look: {effect: safe, deadline: 5 s}
              book: {effect: unsafe, deadline: 5 s}
            pools:
              app:
                servers: [%s]
            %sroutes:
              - {name: look, listener: in, path: /slots, methods: [GET, HEAD], pool: app, class: look}
              - {name: book, listener: in, path: /visits, pool: app, class: book}
            """.formatted(list, poolLines.isEmpty() ? "" : poolLines.indent(4));
    }

    String url(String path) {
        return "http://127.0.0.1:" + node.address("in").getPort() + path;
    }

    HttpRequest.Builder request(String path) {
        return HttpRequest.newBuilder(URI.create(url(path))).timeout(TIMEOUT);
    }

    HttpResponse<String> get(String path, String... headers) throws Exception {
        HttpRequest.Builder request = request(path);
        if (headers.length > 0) {
            request.headers(headers);
        }
        return client.send(request.build(), BodyHandlers.ofString());
    }

    HttpResponse<String> post(String path, String body, String... headers) throws Exception {
        HttpRequest.Builder request = request(path).POST(HttpRequest.BodyPublishers.ofString(body));
        if (headers.length > 0) {
            request.headers(headers);
        }
        return client.send(request.build(), BodyHandlers.ofString());
    }

    @Override
    public void close() {
        node.stop();
    }
}
