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

/** A control process on loopback that serves a table, or answers calls with scripted answers. */
public final class FakeReplica implements AutoCloseable {
    /** Scripted answer that closes the connection instead. */
    public static final String RESET = "";
    /** Suffix of an answer: nothing follows, and the connection stays open until the replica is closed. */
    public static final String STALL = "<stall>";

    /** Prefix of an answer: it is sent after {@link #releaseDelayedAnswers} only. */
    public static final String DELAYED = "<late>";

    /** The parameters of the calls, in order of arrival. */
    public final BlockingQueue<Map<String, String>> calls = new LinkedBlockingQueue<>();
    private final ServerSocket listener;
    private final List<Socket> sockets = new ArrayList<>();
    private final ConcurrentLinkedQueue<String> scriptedAnswers = new ConcurrentLinkedQueue<>();
    private final CountDownLatch released = new CountDownLatch(1);
    private ConfigurationTable table = ConfigurationTable.initial(1);
    private long staleMs;

    /** Listens on an ephemeral port. */
    public FakeReplica() throws IOException {
        listener = new ServerSocket(0, 100, InetAddress.getByName("127.0.0.1"));
        startDaemon(this::accept);
    }

    public InetSocketAddress address() {
        return (InetSocketAddress) listener.getLocalSocketAddress();
    }

    /** The next calls get these answers, in order, instead of an answer from the table. */
    public void enqueueAnswers(String... answers) {
        scriptedAnswers.addAll(List.of(answers));
    }

    /** An answer with status 200 and this body. */
    public static String ok(String body) {
        return "HTTP/1.1 200 OK\r\nContent-Length: " + body.getBytes(StandardCharsets.UTF_8).length + "\r\n\r\n" + body;
    }

    public static String ok(Update update) {
        return ok(new String(UpdateJson.write(update), StandardCharsets.UTF_8));
    }

    public static String busy(String retryAfter) {
        return "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\nRetry-After: " + retryAfter + "\r\n\r\n";
    }

    /** Publishes a change of one entry; a {@code null} value removes it. */
    public synchronized ConfigurationVersion publish(String key, String value) {
        table = table.withChanges(table.version().epoch(), List.of(new Change(EntryKey.parse(key), value)));
        notifyAll();
        return table.version();
    }

    /** Replaces the table, for example by that of another replica or an older one. */
    public synchronized void setTable(ConfigurationTable other) {
        table = other;
        notifyAll();
    }

    public synchronized ConfigurationTable table() {
        return table;
    }

    /** Sets the reported time since the last contact with the publisher; -1 for never. */
    public synchronized void setStaleMs(long millis) {
        staleMs = millis;
    }

    /** Sends the delayed answers. */
    public void releaseDelayedAnswers() {
        released.countDown();
    }

    /** Returns the next call whose parameter has this value; fails after 20 s. */
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

    private static void startDaemon(Runnable task) {
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
                startDaemon(() -> serve(socket));
            }
        } catch (IOException e) {
            // The listener was closed.
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            for (String head = head(socket.getInputStream()); head != null; head = head(socket.getInputStream())) {
                Map<String, String> call = parameters(head.split(" ")[1]);
                calls.add(call);
                String scripted = scriptedAnswers.poll();
                String answer = scripted == null ? answerFromTable(call) : scripted;
                if (answer.startsWith(DELAYED)) {
                    released.await();
                    answer = answer.substring(DELAYED.length());
                }
                write(socket.getOutputStream(), answer.replace(STALL, ""));
                if (answer.endsWith(STALL)) {
                    socket.getInputStream().read();
                    return;
                }
                if (!isComplete(answer)) {
                    return;
                }
            }
        } catch (IOException | InterruptedException e) {
            // The connection was closed.
        }
    }

    private static boolean isComplete(String answer) {
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

    private synchronized String answerFromTable(Map<String, String> call) throws InterruptedException {
        Subscription subscription = new Subscription(call.get("node"), call.get("service"));
        ConfigurationVersion after = new ConfigurationVersion(Long.parseLong(call.get("epoch")), Long.parseLong(call.get("after")));
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(Long.parseLong(call.get("wait_ms")));
        while (table.hasHistorySince(after) && !table.hasChangesSince(after, subscription) && end - System.nanoTime() > 0) {
            wait(Math.max(1, TimeUnit.NANOSECONDS.toMillis(end - System.nanoTime())));
        }
        return ok(table.deltaSince(after, subscription, staleMs));
    }
}
