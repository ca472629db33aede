package onyxpaddle.standin;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/** What has run at a stand-in, whichever protocol it came by. */
public final class ExecutionCounter {
    private static final int MOST_COUNTED = 1_000_000;

    private final Map<String, AtomicInteger> runs = new ConcurrentHashMap<>();
    private final AtomicLong served = new AtomicLong();

    /** One more ran; {@code effect} tells it from others, null where it has no name. */
    void ran(String effect) {
        if (effect != null && runs.size() < MOST_COUNTED) {
            runs.computeIfAbsent(effect, e -> new AtomicInteger()).incrementAndGet();
        }
        served.incrementAndGet();
    }

    /** How often the one of that name ran. */
    public int runs(String effect) {
        AtomicInteger count = runs.get(effect);
        return count == null ? 0 : count.get();
    }

    /** How often each that had a name ran. */
    public Map<String, AtomicInteger> allRuns() {
        return runs;
    }

    /** How many ran. */
    public long served() {
        return served.get();
    }
}
