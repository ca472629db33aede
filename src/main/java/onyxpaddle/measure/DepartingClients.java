package onyxpaddle.measure;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.locks.LockSupport;
import onyxpaddle.measure.AttemptRecorder.ReceivedAttempt;

/**
 * Clients that send one safe request each and leave once they have waited for as long as they said. They read no answer, so
 * whether a node sends a request on depends on the node alone.
 */
final class DepartingClients {
    /** How a client leaves. */
    enum Departure { CLOSE, RESET, HALF_CLOSE }

    /**
     * What the clients do.
     *
     * @param kept whether their connections are opened before the first request
     * @param pipelined how many further requests each sends behind its first one
     * @param expiresNanos how long they say that they wait
     * @param stayNanos how long they stay
     * @param spacingNanos time from one client to the next
     */
    record Behaviour(int count, boolean kept, int pipelined, long expiresNanos, long stayNanos, long spacingNanos, Departure departure) {
    }

    /** Encodes one request in a protocol. */
    interface Encoder {
        byte[] encode(String id, long expiresNanos);
    }

    /**
     * The attempts that were made for the clients.
     *
     * @param sentOn requests that reached a server
     * @param late those of them that an attempt was begun for too long after the client had left
     * @param latestNanos the longest time from a departure to an attempt
     * @param overstated requests of which a server was told too much remaining time
     * @param worstExcessNanos the most that a server was told over what was left
     */
    record Outcome(int sentOn, int late, long latestNanos, int overstated, long worstExcessNanos) {
    }

    /** No attempt may begin later than this after its client left. */
    static final long DEPARTURE_GRACE = 100_000_000L;
    /** What a server is told may exceed what is left by this. */
    static final long TOLD_SLACK = 150_000_000L;

    private record SentRequest(String id, long sentAt, long leftAt) {
    }

    private final Behaviour behaviour;
    private final String prefix;
    private final Encoder encoder;
    private final List<SocketChannel> channels = new ArrayList<>();
    private final List<SentRequest> sent = new ArrayList<>();

    /** Clients by HTTP; {@code prefix}: of the ids of their requests. */
    DepartingClients(Behaviour behaviour, String prefix) {
        this(behaviour, prefix, DepartingClients::httpRequest);
    }

    DepartingClients(Behaviour behaviour, String prefix, Encoder encoder) {
        this.behaviour = behaviour;
        this.prefix = prefix;
        this.encoder = encoder;
    }

    private static byte[] httpRequest(String id, long expiresNanos) {
        return String.format(Locale.ROOT, "GET /read HTTP/1.1\r\nHost: app.svc\r\nX-Trace-Id: %s\r\nX-Expires-In: %.3f\r\n\r\n", id,
            expiresNanos / 1e9).getBytes(StandardCharsets.US_ASCII);
    }

    /** Opens the connections of clients that keep theirs; the others open them as they send. */
    DepartingClients connect(InetSocketAddress node) throws IOException {
        for (int i = 0; i < behaviour.count(); i++) {
            channels.add(behaviour.kept() ? SocketChannel.open(node) : null);
        }
        return this;
    }

    /** Sends all requests and leaves; returns when the last client has left. */
    void run(InetSocketAddress node) throws IOException {
        long start = System.nanoTime();
        long[] sentAt = new long[behaviour.count()];
        int sending = 0;
        for (int leaving = 0; leaving < behaviour.count();) {
            long nextSend = sending < behaviour.count() ? start + sending * behaviour.spacingNanos() : Long.MAX_VALUE;
            long nextLeave = leaving < sending ? sentAt[leaving] + behaviour.stayNanos() : Long.MAX_VALUE;
            pauseUntil(Math.min(nextSend, nextLeave));
            if (nextSend <= nextLeave) {
                sentAt[sending] = send(sending, node);
                sending++;
            } else {
                leave(leaving, sentAt[leaving]);
                leaving++;
            }
        }
    }

    private static void pauseUntil(long time) {
        for (long rest = time - System.nanoTime(); rest > 0; rest = time - System.nanoTime()) {
            LockSupport.parkNanos(rest);
        }
    }

    private long send(int client, InetSocketAddress node) throws IOException {
        if (!behaviour.kept()) {
            channels.set(client, SocketChannel.open(node));
        }
        ByteArrayOutputStream requests = new ByteArrayOutputStream();
        for (int i = 0; i <= behaviour.pipelined(); i++) {
            requests.writeBytes(encoder.encode(id(client, i), behaviour.expiresNanos()));
        }
        ByteBuffer bytes = ByteBuffer.wrap(requests.toByteArray());
        long now = System.nanoTime();
        while (bytes.hasRemaining()) {
            channels.get(client).write(bytes);
        }
        return now;
    }

    private String id(int client, int request) {
        return prefix + "-" + client + "-" + request;
    }

    private void leave(int client, long sentAt) throws IOException {
        SocketChannel channel = channels.get(client);
        switch (behaviour.departure()) {
            case CLOSE -> discardAndClose(channel);
            case RESET -> {
                channel.setOption(StandardSocketOptions.SO_LINGER, 0);
                channel.close();
            }
            case HALF_CLOSE -> channel.shutdownOutput();
        }
        long leftAt = System.nanoTime();
        for (int i = 0; i <= behaviour.pipelined(); i++) {
            sent.add(new SentRequest(id(client, i), sentAt, leftAt));
        }
    }

    /** An answer that was not read would turn the close into a reset. */
    private static void discardAndClose(SocketChannel channel) throws IOException {
        channel.configureBlocking(false);
        Socket socket = channel.socket();
        ByteBuffer answer = ByteBuffer.allocate(64 * 1024);
        try {
            while (channel.read(answer.clear()) > 0) {
                // Read on to the end of what has arrived.
            }
        } catch (IOException e) {
            // The node has reset the connection.
        }
        socket.close();
    }

    /** The ids of the requests of clients that left before this time. */
    List<String> leftBefore(long time) {
        return sent.stream().filter(request -> request.leftAt() < time).map(SentRequest::id).toList();
    }

    /** Closes what {@link Departure#HALF_CLOSE} has left open. */
    void close() throws IOException {
        for (SocketChannel channel : channels) {
            if (channel != null) {
                channel.close();
            }
        }
    }

    /** Compares the attempts with the departures, as the servers saw them. */
    Outcome outcome(AttemptRecorder recorder) {
        return outcome(recorder, Long.MIN_VALUE);
    }

    /**
     * Compares the attempts with the departures.
     *
     * @param notBefore an attempt recorded earlier counts as received then, and one recorded later too: for a node that could not
     *     run before this time, the result does not depend on how fast this process is. {@link Long#MIN_VALUE}: as recorded
     */
    Outcome outcome(AttemptRecorder recorder, long notBefore) {
        int sentOn = 0;
        int late = 0;
        int overstated = 0;
        long latest = Long.MIN_VALUE;
        long worstExcess = Long.MIN_VALUE;
        for (SentRequest request : sent) {
            List<ReceivedAttempt> attempts = recorder.attempts(request.id());
            if (attempts.isEmpty()) {
                continue;
            }
            sentOn++;
            long lateness = Long.MIN_VALUE;
            long excess = Long.MIN_VALUE;
            for (ReceivedAttempt attempt : attempts) {
                long receivedAt = notBefore == Long.MIN_VALUE ? attempt.receivedAt() : notBefore;
                lateness = Math.max(lateness, receivedAt - request.leftAt());
                long timeLeft = Math.max(0, request.sentAt() + behaviour.expiresNanos() - receivedAt);
                excess = Math.max(excess, attempt.toldNanos() - timeLeft);
            }
            late += lateness > DEPARTURE_GRACE ? 1 : 0;
            overstated += excess > TOLD_SLACK ? 1 : 0;
            latest = Math.max(latest, lateness);
            worstExcess = Math.max(worstExcess, excess);
        }
        return new Outcome(sentOn, late, latest, overstated, worstExcess);
    }
}
