package onyxpaddle.measure;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A discovery for one node that answers calls and watches by a script, which can be replaced while watches are open. */
final class ScriptedEndpoints implements AutoCloseable {
    /** A change counts as told after this time even if the node has not received it. */
    static final long TOLD_AT_THE_LATEST = TimeUnit.SECONDS.toNanos(6);
    private static final Pattern CALL = Pattern.compile("GET /v1/endpoints(?:\\?after=(\\d+)&wait_ms=(\\d+))? ");
    private static final long WHOLE = -1;

    /**
     * A call of the node.
     *
     * @param after the version that it has; negative if it asks for the whole list
     * @param unseen no call has been answered by the present script yet
     */
    record Call(long after, boolean unseen) {
        boolean asksForTheWholeList() {
            return after < 0;
        }
    }

    /**
     * An answer that is written in pieces over some time.
     *
     * @param tells whether the node is told what the script forbids once it is written
     */
    record Answer(String list, int pieces, long millis, boolean tells) {
        Answer(String list) {
            this(list, 1, 0);
        }

        Answer(String list, int pieces, long millis) {
            this(list, pieces, millis, true);
        }
    }

    /** Decides on answers. */
    interface Script {
        /** The answer to the call; null if there is nothing new for it. */
        Answer answer(Call call);
    }

    /** A script in force, and what it forbids. */
    private static final class Publication {
        private final Script script;
        private final Set<String> forbidden;
        private final long publishedAt = System.nanoTime();
        private boolean answered;
        private volatile long writtenAt = Long.MAX_VALUE;

        Publication(Script script, Set<String> forbidden) {
            this.script = script;
            this.forbidden = forbidden;
        }

        long toldAt() {
            return Math.min(writtenAt, publishedAt + TOLD_AT_THE_LATEST);
        }
    }

    private final ServerSocket listener = new ServerSocket(0, 200, InetAddress.getByName("127.0.0.1"));
    private final ExecutorService threads = Executors.newCachedThreadPool(task -> {
        Thread thread = new Thread(task, "endpoints");
        thread.setDaemon(true);
        return thread;
    });
    private final List<Publication> publications = new CopyOnWriteArrayList<>();
    private final List<Long> calls = new CopyOnWriteArrayList<>();

    ScriptedEndpoints(Script script) throws IOException {
        publications.add(new Publication(script, Set.of()));
        threads.execute(this::accept);
    }

    String address() {
        return "127.0.0.1:" + listener.getLocalPort();
    }

    /** Replaces the script; by what it answers from now on, these servers drain or are gone. */
    synchronized void publish(Script script, Set<String> forbidden) {
        publications.add(new Publication(script, forbidden));
        notifyAll();
    }

    /** When the present script's first answer was written whole, at the latest. */
    long toldAt() {
        return publications.get(publications.size() - 1).toldAt();
    }

    /** Whether an attempt at the server at this time began more than {@code grace} after the node was told not to. */
    boolean forbids(String server, long at, long grace) {
        long toldAt = Long.MAX_VALUE;
        for (Publication publication : publications) {
            if (publication.publishedAt > at) {
                break;
            }
            toldAt = publication.forbidden.contains(server) ? Math.min(toldAt, publication.toldAt()) : Long.MAX_VALUE;
        }
        return toldAt != Long.MAX_VALUE && at - toldAt > grace;
    }

    /** The most calls that came within any second. */
    int mostCallsInASecond() {
        List<Long> counted = new ArrayList<>(calls);
        int most = 0;
        int first = 0;
        for (int last = 0; last < counted.size(); last++) {
            while (counted.get(last) - counted.get(first) > TimeUnit.SECONDS.toNanos(1)) {
                first++;
            }
            most = Math.max(most, last - first + 1);
        }
        return most;
    }

    private void accept() {
        try {
            while (true) {
                Socket socket = listener.accept();
                socket.setTcpNoDelay(true);
                threads.execute(() -> serve(socket));
            }
        } catch (IOException e) {
            // It is closed.
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            for (String head = HttpHead.read(socket.getInputStream()); head != null; head = HttpHead.read(socket.getInputStream())) {
                calls.add(System.nanoTime());
                Matcher call = CALL.matcher(head);
                if (!call.find()) {
                    throw new IOException("not a call: " + head);
                }
                boolean whole = call.group(1) == null;
                answer(socket, whole ? WHOLE : Long.parseLong(call.group(1)),
                    whole ? 0 : Long.parseLong(call.group(2)));
            }
        } catch (IOException e) {
            // The node has closed the connection.
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void answer(Socket socket, long after, long waitMs) throws IOException, InterruptedException {
        Answer answer = null;
        Publication answeredBy;
        synchronized (this) {
            long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(waitMs);
            do {
                answeredBy = publications.get(publications.size() - 1);
                answer = answeredBy.script.answer(new Call(after, !answeredBy.answered));
                long left = TimeUnit.NANOSECONDS.toMillis(end - System.nanoTime());
                if (answer != null || left <= 0) {
                    break;
                }
                wait(left);
            } while (true);
            answeredBy.answered |= answer != null;
        }
        write(socket, answer == null ? new Answer("{\"seq\":" + after + ",\"whole\":false,\"hosts\":[]}") : answer);
        if (answer != null && answer.tells()) {
            answeredBy.writtenAt = Math.min(answeredBy.writtenAt, System.nanoTime());
        }
    }

    private static void write(Socket socket, Answer answer) throws IOException, InterruptedException {
        OutputStream out = socket.getOutputStream();
        byte[] bytes = ("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " + answer.list().length() + "\r\n\r\n"
            + answer.list()).getBytes(StandardCharsets.US_ASCII);
        for (int piece = 0; piece < answer.pieces(); piece++) {
            int from = (int) ((long) bytes.length * piece / answer.pieces());
            int to = (int) ((long) bytes.length * (piece + 1) / answer.pieces());
            // The fault itself, and no wait for something.
            TimeUnit.MILLISECONDS.sleep(answer.millis() / answer.pieces());
            requireOpen(socket);
            out.write(bytes, from, to - from);
            out.flush();
        }
    }

    /** Throws if the node has closed the connection: what is written to it now would seem to be written, and reach nobody. */
    private static void requireOpen(Socket socket) throws IOException {
        socket.setSoTimeout(1);
        try {
            throw new IOException(socket.getInputStream().read() < 0 ? "the node has closed the connection" : "a call before its answer");
        } catch (SocketTimeoutException e) {
            socket.setSoTimeout(0);
        }
    }

    @Override
    public void close() throws IOException {
        listener.close();
        threads.shutdownNow();
    }
}
