package onyxpaddle.control;

import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import onyxpaddle.drill.Link;
import onyxpaddle.drill.Relay;

/**
 * A proxy between one client and one control process, on a port of its own. It counts bytes, and can be partitioned in each direction:
 * held data is delivered once the link is restored.
 */
final class PartitionableLink implements AutoCloseable {
    /** Consulted by the relay before it forwards anything. */
    private static final class Gate extends Link {
        private final AtomicLong bytes = new AtomicLong();
        private volatile long lastNanos = Long.MIN_VALUE;
        private volatile boolean holdsRequests;
        private volatile boolean holdsAnswers;
        private volatile boolean refusesConnections;

        @Override
        public boolean holdsBack(boolean toBox) {
            return toBox ? holdsRequests : holdsAnswers;
        }

        @Override
        public boolean refusesConnections() {
            return refusesConnections;
        }

        @Override
        public long transmissionNs(int count) {
            bytes.addAndGet(count);
            lastNanos = System.nanoTime();
            return 0;
        }
    }

    private final Gate gate = new Gate();
    private final Relay relay;

    PartitionableLink(EventLoop loop, String client, InetSocketAddress control) throws InterruptedException {
        relay = new Relay(loop, gate, client, () -> control, new ConcurrentHashMap<>());
    }

    /** Returns the address that the client connects to. */
    String address() {
        return relay.address();
    }

    /** Holds data in both directions; connections stay open and new ones are accepted. */
    void cut() {
        gate.holdsRequests = true;
        gate.holdsAnswers = true;
    }

    /** Holds answers; requests still arrive. */
    void holdAnswers() {
        gate.holdsAnswers = true;
    }

    /** Refuses new connections and resets the open ones, so that none of their data is delivered late. */
    void refuse() {
        gate.refusesConnections = true;
        relay.reset();
    }

    /** Delivers held data and forwards everything again. */
    void restore() {
        gate.refusesConnections = false;
        gate.holdsRequests = false;
        gate.holdsAnswers = false;
    }

    /** Returns the bytes forwarded in both directions so far, including HTTP heads. */
    long bytes() {
        return gate.bytes.get();
    }

    /** Returns the {@link System#nanoTime} at which data last passed; {@code Long.MIN_VALUE} for never. */
    long lastNanos() {
        return gate.lastNanos;
    }

    @Override
    public void close() {
        relay.close();
    }
}
