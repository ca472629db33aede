package onyxpaddle.control;

import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import onyxpaddle.drill.Link;
import onyxpaddle.drill.Relay;

/**
 * The way from one client to one control process, on a port of its own. It counts what passes, and can be cut in each direction:
 * what is held is delivered, all of it and late, once the link is healed.
 */
final class CuttableLink implements AutoCloseable {
    /** What the relay asks before it passes anything on. */
    private static final class Gate extends Link {
        private final AtomicLong bytes = new AtomicLong();
        private volatile long lastNanos = Long.MIN_VALUE;
        private volatile boolean holdsRequests;
        private volatile boolean holdsAnswers;
        private volatile boolean refuses;

        @Override
        public boolean holds(boolean toBox) {
            return toBox ? holdsRequests : holdsAnswers;
        }

        @Override
        public boolean refuses() {
            return refuses;
        }

        @Override
        public long takes(int count) {
            bytes.addAndGet(count);
            lastNanos = System.nanoTime();
            return 0;
        }
    }

    private final Gate gate = new Gate();
    private final Relay relay;

    CuttableLink(EventLoop loop, String client, InetSocketAddress control) throws InterruptedException {
        relay = new Relay(loop, gate, client, () -> control, new ConcurrentHashMap<>());
    }

    /** What the client is told to call. */
    String address() {
        return relay.address();
    }

    /** From now on nothing passes, in either direction; connections stay open and new ones are taken. */
    void cut() {
        gate.holdsRequests = true;
        gate.holdsAnswers = true;
    }

    /** From now on requests arrive and answers don't. */
    void holdAnswers() {
        gate.holdsAnswers = true;
    }

    /** From now on connections are refused; those that are open are reset, so that nothing of them comes late. */
    void refuse() {
        gate.refuses = true;
        relay.reset();
    }

    /** Delivers what was held, and passes everything on again. */
    void heal() {
        gate.refuses = false;
        gate.holdsRequests = false;
        gate.holdsAnswers = false;
    }

    /** Bytes of both directions so far, heads of requests and answers among them. */
    long bytes() {
        return gate.bytes.get();
    }

    /** When something last came by, on the clock of {@link System#nanoTime}; {@code Long.MIN_VALUE} for never. */
    long lastNanos() {
        return gate.lastNanos;
    }

    @Override
    public void close() {
        relay.close();
    }
}
