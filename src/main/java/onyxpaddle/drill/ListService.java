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
 * The lists of servers that nodes are told: the platform's discovery by its protocol, an address for each node, as the way to
 * a box is another one for each. A watch is answered as soon as there is something new.
 */
final class ListService implements AutoCloseable {
    private static final long LONGEST_WATCH_MS = 1_000;

    /** What a list says of a box. */
    private record Line(String state, long bornMs) {
    }

    private final History history;
    private final ExecutorService calls = Executors.newCachedThreadPool(task -> {
        Thread thread = new Thread(task, "list");
        thread.setDaemon(true);
        return thread;
    });
    private final List<HttpServer> doors = new ArrayList<>();
    private final Map<String, Line> lines = new HashMap<>();
    /** The lines as they were at each version, from 1 on. */
    private final List<Map<String, Line>> versions = new ArrayList<>();
    private boolean hushed;

    ListService(History history) {
        this.history = history;
    }

    /** An address for a node; {@code ways}: where it reaches each box. */
    InetSocketAddress door(String node, Map<String, String> ways) throws IOException {
        HttpServer door = HttpServer.create(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 0);
        door.setExecutor(calls);
        door.createContext("/v1/endpoints", exchange -> {
            try {
                answer(exchange, node, ways);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
        door.start();
        doors.add(door);
        return door.getAddress();
    }

    private void answer(HttpExchange exchange, String node, Map<String, String> ways) throws IOException, InterruptedException {
        Map<String, Long> query = new HashMap<>();
        String text = exchange.getRequestURI().getQuery();
        for (String pair : text == null ? new String[0] : text.split("&")) {
            String[] parts = pair.split("=", 2);
            if (parts.length == 2 && parts[1].matches("[0-9]{1,15}")) {
                query.put(parts[0], Long.parseLong(parts[1]));
            }
        }
        long after = query.getOrDefault("after", -1L);
        long wait = Math.min(LONGEST_WATCH_MS, query.getOrDefault("wait_ms", 0L));
        String list;
        Map<String, Line> told = new HashMap<>();
        synchronized (this) {
            long until = System.nanoTime() + wait * 1_000_000;
            for (long left = wait; (hushed || after >= 0 && versions.size() <= after) && left > 0; left = (until - System.nanoTime()) / 1_000_000) {
                wait(left);
            }
            int version = hushed && after >= 0 ? (int) after : versions.size();
            boolean whole = after < 1 || after > versions.size();
            Map<String, Line> before = whole ? Map.of() : versions.get((int) after - 1);
            Map<String, Line> now = version == 0 ? Map.of() : versions.get(version - 1);
            now.forEach((box, line) -> {
                if (!line.equals(before.get(box)) && (!whole || !line.state().equals("gone"))) {
                    told.put(box, line);
                }
            });
            list = "{\"seq\":" + version + ",\"whole\":" + whole + ",\"hosts\":" + hosts(told, ways) + "}";
        }
        byte[] bytes = list.getBytes(StandardCharsets.US_ASCII);
        exchange.sendResponseHeaders(200, bytes.length);
        exchange.getResponseBody().write(bytes);
        exchange.close();
        told.forEach((box, line) -> history.add(Type.TOLD, "node", node, "box", box, "state", line.state()));
    }

    private static String hosts(Map<String, Line> told, Map<String, String> ways) {
        List<String> hosts = new ArrayList<>();
        new java.util.TreeMap<>(told).forEach((box, line) -> hosts.add(
            "{\"host\":\"%s\",\"dial\":\"%s\",\"site\":\"%s\",\"health\":\"%s\",\"share\":1.0,\"born_ms\":%d}".formatted(box.replace('/', '-'),
                ways.get(box), box.substring(0, box.indexOf('/')), line.state(), line.bornMs())));
        return "[" + String.join(",", hosts) + "]";
    }

    /** The whole list as it is now, as a configuration has it. */
    synchronized String known(Map<String, String> ways) {
        Map<String, Line> here = new HashMap<>(lines);
        here.values().removeIf(line -> line.state().equals("gone"));
        return "{\"seq\":" + versions.size() + ",\"whole\":true,\"hosts\":" + hosts(here, ways) + "}";
    }

    /** What is told of a box from now on. */
    synchronized void set(String box, String state, long bornMs) {
        lines.put(box, new Line(state, bornMs));
        versions.add(Map.copyOf(lines));
        notifyAll();
    }

    /** ListDelays stand still, or tell again. */
    synchronized void hush(boolean on) {
        hushed = on;
        notifyAll();
    }

    @Override
    public void close() {
        doors.forEach(d -> d.stop(0));
        calls.shutdownNow();
    }
}
