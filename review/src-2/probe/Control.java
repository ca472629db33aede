package probe;

import java.io.BufferedInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Control processes, and calls to them. */
final class Control {
    private Control() {
    }

    /** Starts a control process by the command of the operators' page. */
    static Kit.Proc start(Kit kit, String id, InetSocketAddress at, Path state, String options) throws IOException {
        return kit.start(id, "exec bin/lupinmount control serve --listen " + Kit.text(at) + " --id " + id + " --state " + state + " " + options,
            Map.of());
    }

    static void awaitUp(Kit kit, Kit.Proc proc, InetSocketAddress at) throws Exception {
        if (!Kit.await(30_000, () -> !proc.process.isAlive() || status(at) != null) || !proc.process.isAlive()) {
            throw new Kit.CouldNotRun(proc.name + " does not serve: " + proc.log());
        }
        kit.note(proc.name + " serves");
    }

    /** The status of a process; null if it does not answer. */
    static String status(InetSocketAddress at) {
        try {
            Kit.Message m = Kit.call(at, "GET /v1/status HTTP/1.1\r\nHost: c\r\n\r\n", 2_000);
            return m.status == 200 ? new String(m.body, StandardCharsets.UTF_8) : null;
        } catch (IOException e) {
            return null;
        }
    }

    /** What a process tells a node of this name and service. */
    static String told(InetSocketAddress at, String node, String service) {
        try {
            Kit.Message m = Kit.call(at, "GET /v1/configuration?node=" + node + "&service=" + service
                + "&epoch=0&after=0&wait_ms=0 HTTP/1.1\r\nHost: c\r\n\r\n", 5_000);
            return m.status + " " + new String(m.body, StandardCharsets.UTF_8).strip();
        } catch (IOException e) {
            return "no answer: " + e;
        }
    }

    static String version(String answer) {
        Matcher m = Pattern.compile("\"version\":\"([0-9.]+)\"").matcher(answer == null ? "" : answer);
        return m.find() ? m.group(1) : "none";
    }

    static String change(String key, String value) {
        return "{\"key\":\"" + key + "\",\"value\":\"" + value.replace("\n", "\\n").replace("\"", "\\\"") + "\"}";
    }

    /** Sections of the pools of a thousand nodes, of 1.5 KB each: what a fleet has in one of its sections. */
    static String sections(String pool, int nodes) {
        StringBuilder servers = new StringBuilder("attempts: 2\nservers:\n");
        for (int i = 0; i < 45; i++) {
            servers.append("  - {id: box-").append(1000 + i).append(", address: 127.0.9.").append(1 + i).append(":7001}\n");
        }
        StringBuilder changes = new StringBuilder();
        for (int i = 0; i < nodes; i++) {
            changes.append(i == 0 ? "" : ",").append(change("node/node-" + i + "/pools." + pool, servers.toString()));
        }
        return changes.toString();
    }

    /** Publishes changes; the answer's status and text. It is given up after {@code waitMs} and 5 s more. */
    static String publish(InetSocketAddress at, String changes, int acks, int waitMs) throws IOException {
        byte[] body = ("{\"changes\":[" + changes + "]}").getBytes(StandardCharsets.UTF_8);
        try (Socket socket = new Socket()) {
            socket.connect(at, 2_000);
            socket.setSoTimeout(waitMs + 5_000);
            socket.getOutputStream().write(Kit.ascii("POST /v1/changes?acks=" + acks + "&wait_ms=" + waitMs
                + " HTTP/1.1\r\nHost: c\r\nContent-Type: application/json\r\nContent-Length: " + body.length + "\r\n\r\n"));
            socket.getOutputStream().write(body);
            Kit.Message m = Kit.read(new BufferedInputStream(socket.getInputStream()), true);
            if (m == null) {
                throw new EOFException("closed without an answer");
            }
            return m.status + " " + new String(m.body, StandardCharsets.UTF_8).strip();
        }
    }
}
