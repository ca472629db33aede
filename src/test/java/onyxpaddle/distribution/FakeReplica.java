package onyxpaddle.distribution;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import onyxpaddle.distribution.ConfigurationTable.Change;

/** A control process on loopback that tells a table as it should, or answers the next calls as a script says. */
public final class FakeReplica implements AutoCloseable {
    /** Closes the connection in place of an answer. */
    public static final String RESET = "";
    /** At the end of an answer: nothing further comes, and the connection stays open until the replica is closed. */
    public static final String STALL = "<stall>";

    /** At the start of an answer: all of it comes at {@link #releaseDelayedAnswers} only. */
    public static final String DELAYED = "<late>";

    /** The calls, as they came. */
    public final BlockingQueue<Map<String, String>> calls = new LinkedBlockingQueue<>();
    private final ServerSocket listener;
    private final List<Socket> sockets = new ArrayList<>();
    private final ConcurrentLinkedQueue<String> script = new ConcurrentLinkedQueue<>();
    private final CountDownLatch released = new CountDownLatch(1);
    private ConfigurationTable table = ConfigurationTable.initial(1);
    private long staleMs;

    /** On a port of the system's choice. */
    public FakeReplica() throws IOException {
        listener = new ServerSocket(0, 100, InetAddress.getByName("127.0.0.1"));
        daemon(this::accept);
    }

    public InetSocketAddress address() {
        return (InetSocketAddress) listener.getLocalSocketAddress();
    }

    /** The next calls are answered so, one after the other, in place of what the table says. */
    public void enqueueAnswers(String... answers) {
        script.addAll(List.of(answers));
    }

    /** An answer of status 200 with this body. */
    public static String ok(String body) {
        return "HTTP/1.1 200 OK\r\nContent-Length: " + body.getBytes(StandardCharsets.UTF_8).length + "\r\n\r\n" + body;
    }

    public static String ok(Update update) {
        return ok(new String(UpdateJson.write(update), StandardCharsets.UTF_8));
    }

    public static String busy(String retryAfter) {
        return "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\nRetry-After: " + retryAfter + "\r\n\r\n";
    }

    /** A change of one entry; {@code value} null takes it away. */
    public synchronized ConfigurationVersion publish(String key, String value) {
        table = table.withChanges(table.version().epoch(), List.of(new Change(EntryKey.parse(key), value)));
        notifyAll();
        return table.version();
    }

    /** Goes on from another table, such as that of another replica or an older one. */
    public synchronized void setTable(ConfigurationTable other) {
        table = other;
        notifyAll();
    }

    public synchronized ConfigurationTable table() {
        return table;
    }

    /** As if this long ago had been heard from the publisher; -1 for never. */
    public synchronized void setStaleMs(long millis) {
        staleMs = millis;
    }

    /** Lets late answers go. */
    public void releaseDelayedAnswers() {
        released.countDown();
    }

    /** The next call that has this parameter so, or fails after 20 s. */
    public Map<String, String> awaitCall(String name, String value) throws InterruptedException {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(20);
        while (true) {
            Map<String, String> call = calls.poll(Math.max(0, end - System.nanoTime()), TimeUnit.NANOSECONDS);
            if (call == null) {
                throw new AssertionError("no call with " + name + "=" + value);
            }
            if (value.equals(call.get(name))) {
                return call;
            }
        }
    }

    @Override
    public void close() throws IOException {
        listener.close();
        synchronized (sockets) {
            for (Socket socket : sockets) {
                socket.close();
            }
        }
    }

    // ---- connections ----

    private static void daemon(Runnable task) {
        Thread thread = new Thread(task, "fake-replica");
        thread.setDaemon(true);
        thread.start();
    }

    private void accept() {
        try {
            while (true) {
                Socket socket = listener.accept();
                synchronized (sockets) {
                    sockets.add(socket);
                }
                daemon(() -> serve(socket));
            }
        } catch (IOException e) {
            // Closed.
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            for (String head = head(socket.getInputStream()); head != null; head = head(socket.getInputStream())) {
                Map<String, String> call = parameters(head.split(" ")[1]);
                calls.add(call);
                String scripted = script.poll();
                String answer = scripted == null ? told(call) : scripted;
                if (answer.startsWith(DELAYED)) {
                    released.await();
                    answer = answer.substring(DELAYED.length());
                }
                write(socket.getOutputStream(), answer.replace(STALL, ""));
                if (answer.endsWith(STALL)) {
                    socket.getInputStream().read();
                    return;
                }
                if (!whole(answer)) {
                    return;
                }
            }
        } catch (IOException | InterruptedException e) {
            // The connection is over.
        }
    }

    private static boolean whole(String answer) {
        int body = answer.indexOf("\r\n\r\n") + 4;
        int length = body < 4 ? 0 : Integer.parseInt(answer.replaceAll("(?s).*Content-Length: ([0-9]+).*", "$1"));
        return body >= 4 && answer.substring(body).getBytes(StandardCharsets.UTF_8).length == length;
    }

    private static void write(OutputStream out, String text) throws IOException {
        out.write(text.getBytes(StandardCharsets.UTF_8));
        out.flush();
    }

    private static String head(InputStream in) throws IOException {
        ByteArrayOutputStream head = new ByteArrayOutputStream();
        while (!head.toString(StandardCharsets.ISO_8859_1).endsWith("\r\n\r\n")) {
            int next = in.read();
            if (next < 0) {
                return null;
            }
            head.write(next);
        }
        return head.toString(StandardCharsets.ISO_8859_1);
    }

    private static Map<String, String> parameters(String uri) {
        Map<String, String> parameters = new HashMap<>();
        for (String pair : uri.substring(uri.indexOf('?') + 1).split("&")) {
            String[] parts = pair.split("=", 2);
            parameters.put(parts[0], java.net.URLDecoder.decode(parts[1], StandardCharsets.UTF_8));
        }
        return parameters;
    }

    private synchronized String told(Map<String, String> call) throws InterruptedException {
        Subscription subscription = new Subscription(call.get("node"), call.get("service"));
        ConfigurationVersion after = new ConfigurationVersion(Long.parseLong(call.get("epoch")), Long.parseLong(call.get("after")));
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(Long.parseLong(call.get("wait_ms")));
        while (table.hasHistorySince(after) && !table.hasChangesSince(after, subscription) && end - System.nanoTime() > 0) {
            wait(Math.max(1, TimeUnit.NANOSECONDS.toMillis(end - System.nanoTime())));
        }
        return ok(table.deltaSince(after, subscription, staleMs));
    }
}
