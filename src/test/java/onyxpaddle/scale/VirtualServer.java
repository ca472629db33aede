package onyxpaddle.scale;

import java.io.IOException;
import java.util.SplittableRandom;

/** A server on a clock that moves by a microsecond with each look at it: answers after a fixed time, and may stall. */
final class VirtualServer {
    private static final long LOOK_NANOS = 1_000;

    private final long serviceNanos;
    private long now;
    private long stallFrom = Long.MAX_VALUE;
    private long stallUntil = Long.MAX_VALUE;
    private int toBreak;
    private int connected;
    private int generation;
    private long noiseNanos;
    private SplittableRandom noise;

    VirtualServer(long serviceNanos) {
        this.serviceNanos = serviceNanos;
    }

    long now() {
        now += LOOK_NANOS;
        return now;
    }

    /** Answers that would come in this span come at its end. */
    void stall(long from, long until) {
        stallFrom = from;
        stallUntil = until;
    }

    /** The next calls meet a connection that breaks. */
    void breakNext(int count) {
        toBreak = count;
    }

    /** Closes all connections that are open. */
    void closeAll() {
        generation++;
    }

    /** One answer in 20 takes up to so much longer. */
    void noise(long mostNanos, long seed) {
        noiseNanos = mostNanos;
        noise = new SplittableRandom(seed);
    }

    int connected() {
        return connected;
    }

    OpenLoadConnection connect() {
        connected++;
        return new OpenLoadConnection() {
            private final int connectionGeneration = generation;
            private long answerAt;

            @Override
            public void send() throws IOException {
                if (generation != connectionGeneration) {
                    throw new IOException("closed");
                }
                if (toBreak > 0) {
                    toBreak--;
                    throw new IOException("broken");
                }
                long at = now + serviceNanos + (noise != null && noise.nextInt(20) == 0 ? noise.nextLong(noiseNanos) : 0);
                answerAt = at >= stallFrom && at < stallUntil ? stallUntil : at;
            }

            @Override
            public boolean usable() {
                return generation == connectionGeneration;
            }

            @Override
            public boolean answered() {
                return now >= answerAt;
            }

            @Override
            public void close() {
                answerAt = Long.MAX_VALUE;
            }
        };
    }
}
