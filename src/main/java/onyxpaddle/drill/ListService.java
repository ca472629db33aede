package onyxpaddle.drill;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import onyxpaddle.drill.Event.Type;

/**
 * Serves lists of servers to the nodes, by the protocol of the platform's discovery. Each node has an address of its own, because it
 * reaches each box through a relay of its own. A watch is answered as soon as there is a change.
 */
final class ListService implements AutoCloseable {
    private static final long MAX_WATCH_MS = 1_000;

    private record Entry(String state, long startedAtMs) {
    }

    private final History history;
    private final ExecutorService executor = Executors.newCachedThreadPool(task -> {
        Thread thread = new Thread(task, "list");
        thread.setDaemon(true);
        return thread;
    });
    private final List<HttpServer> servers = new ArrayList<>();
    private final Map<String, Entry> entries = new HashMap<>();
    /** The entries of each version, from version 1 on. */
    private final List<Map<String, Entry>> versions = new ArrayList<>();
    private boolean frozen;

    ListService(History history) {
        this.history = history;
    }

    /** Opens a listening address for a node; {@code relayAddresses} has the address of its relay to each box. */
    InetSocketAddress addNode(String node, Map<String, String> relayAddresses) throws IOException {
        HttpServer server = HttpServer.create(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 0);
        server.setExecutor(executor);
        server.createContext("/v1/endpoints", exchange -> {
            try {
                answer(exchange, node, relayAddresses);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
        server.start();
        servers.add(server);
        return server.getAddress();
    }

    private void answer(HttpExchange exchange, String node, Map<String, String> relayAddresses) throws IOException, InterruptedException {
        Map<String, Long> query = new HashMap<>();
        String text = exchange.getRequestURI().getQuery();
        for (String pair : text == null ? new String[0] : text.split("&")) {
            String[] parts = pair.split("=", 2);
            if (parts.length == 2 && parts[1].matches("[0-9]{1,15}")) {
                query.put(parts[0], Long.parseLong(parts[1]));
            }
        }
        long after = query.getOrDefault("after", -1L);
        long wait = Math.min(MAX_WATCH_MS, query.getOrDefault("wait_ms", 0L));
        String list;
        Map<String, Entry> changes = new HashMap<>();
        synchronized (this) {
            long until = System.nanoTime() + wait * 1_000_000;
            for (long left = wait; (frozen || after >= 0 && versions.size() <= after) && left > 0;
                    left = (until - System.nanoTime()) / 1_000_000) {
                wait(left);
            }
            int version = frozen && after >= 0 ? (int) after : versions.size();
            boolean whole = after < 1 || after > versions.size();
            Map<String, Entry> before = whole ? Map.of() : versions.get((int) after - 1);
            Map<String, Entry> now = version == 0 ? Map.of() : versions.get(version - 1);
            now.forEach((box, entry) -> {
                if (!entry.equals(before.get(box)) && (!whole || !entry.state().equals("gone"))) {
                    changes.put(box, entry);
                }
            });
            list = "{\"seq\":" + version + ",\"whole\":" + whole + ",\"hosts\":" + hosts(changes, relayAddresses) + "}";
        }
        byte[] bytes = list.getBytes(StandardCharsets.US_ASCII);
        exchange.sendResponseHeaders(200, bytes.length);
        exchange.getResponseBody().write(bytes);
        exchange.close();
        changes.forEach((box, entry) -> history.add(Type.TOLD, "node", node, "box", box, "state", entry.state()));
    }

    private static String hosts(Map<String, Entry> changes, Map<String, String> relayAddresses) {
        List<String> hosts = new ArrayList<>();
        new java.util.TreeMap<>(changes).forEach((box, entry) -> hosts.add(
            "{\"host\":\"%s\",\"dial\":\"%s\",\"site\":\"%s\",\"health\":\"%s\",\"share\":1.0,\"born_ms\":%d}".formatted(box.replace('/', '-'),
                relayAddresses.get(box), box.substring(0, box.indexOf('/')), entry.state(), entry.startedAtMs())));
        return "[" + String.join(",", hosts) + "]";
    }

    /** The current list in full, in the form of the node's configuration. */
    synchronized String currentList(Map<String, String> relayAddresses) {
        Map<String, Entry> present = new HashMap<>(entries);
        present.values().removeIf(entry -> entry.state().equals("gone"));
        return "{\"seq\":" + versions.size() + ",\"whole\":true,\"hosts\":" + hosts(present, relayAddresses) + "}";
    }

    /** Sets the state of a box in the list and wakes watches. */
    synchronized void set(String box, String state, long startedAtMs) {
        entries.put(box, new Entry(state, startedAtMs));
        versions.add(Map.copyOf(entries));
        notifyAll();
    }

    /** Stops or resumes updates; changes made meanwhile are reported when updates resume. */
    synchronized void freeze(boolean on) {
        frozen = on;
        notifyAll();
    }

    @Override
    public void close() {
        servers.forEach(s -> s.stop(0));
        executor.shutdownNow();
    }
}
