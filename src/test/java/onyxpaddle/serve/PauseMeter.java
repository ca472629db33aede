package onyxpaddle.serve;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** Notes when the test's own process was held up, so that a trial can tell that from a delay of what it judges. */
final class PauseMeter implements AutoCloseable {
    private static final long STEP_MS = 2;
    private static final long SHORTEST_PAUSE = TimeUnit.MILLISECONDS.toNanos(10);

    private record Pause(long from, long until) {
    }

    private final List<Pause> pauses = new ArrayList<>();
    private final Thread thread = new Thread(this::watch, "pause-meter");
    private volatile boolean closed;

    PauseMeter() {
        thread.setDaemon(true);
        thread.start();
    }

    private void watch() {
        long last = System.nanoTime();
        while (!closed) {
            try {
                TimeUnit.MILLISECONDS.sleep(STEP_MS);
            } catch (InterruptedException e) {
                return;
            }
            long now = System.nanoTime();
            if (now - last > SHORTEST_PAUSE) {
                synchronized (pauses) {
                    pauses.add(new Pause(last, now));
                }
            }
            last = now;
        }
    }

    /** The longest pause that overlaps the span; 0 for none. */
    long longestWithin(long from, long until) {
        synchronized (pauses) {
            return pauses.stream().filter(p -> p.until >= from && p.from <= until).mapToLong(p -> p.until - p.from).max().orElse(0);
        }
    }

    @Override
    public void close() {
        closed = true;
    }
}
