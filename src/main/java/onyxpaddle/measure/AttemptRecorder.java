package onyxpaddle.measure;

import io.netty.handler.codec.http.HttpHeaders;
import java.net.SocketAddress;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import onyxpaddle.standin.StandInServer;

/** Records each attempt that stand-in servers receive: when it arrived, and how much time it was told to have. */
final class AttemptRecorder implements StandInServer.Watcher {
    /**
     * An attempt as its server saw it.
     *
     * @param receivedAt by {@link System#nanoTime}
     * @param toldNanos the remaining time in {@code X-Expires-In}
     */
    record ReceivedAttempt(long receivedAt, long toldNanos) {
    }

    private final Map<String, List<ReceivedAttempt>> byRequest = new ConcurrentHashMap<>();

    @Override
    public void headersReceived(HttpHeaders headers) {
        long now = System.nanoTime();
        String id = headers.get("X-Trace-Id");
        long told = (long) (Double.parseDouble(headers.get("X-Expires-In")) * 1e9);
        byRequest.computeIfAbsent(id, i -> new CopyOnWriteArrayList<>()).add(new ReceivedAttempt(now, told));
    }

    @Override
    public void requestReceived(String effect, SocketAddress from) {
    }

    @Override
    public void requestExecuted(String effect) {
    }

    /** The attempts of this request so far. */
    List<ReceivedAttempt> attempts(String id) {
        return byRequest.getOrDefault(id, List.of());
    }
}
