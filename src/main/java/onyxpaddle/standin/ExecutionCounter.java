package onyxpaddle.standin;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/** Counts the requests that a stand-in server has executed, over all protocols. */
public final class ExecutionCounter {
    private static final int MAX_COUNTED = 1_000_000;

    private final Map<String, AtomicInteger> runs = new ConcurrentHashMap<>();
    private final AtomicLong served = new AtomicLong();

    /** Counts an execution; {@code effect} is the identifier of the request, null if it has none. */
    void countExecution(String effect) {
        if (effect != null && runs.size() < MAX_COUNTED) {
            runs.computeIfAbsent(effect, e -> new AtomicInteger()).incrementAndGet();
        }
        served.incrementAndGet();
    }

    /** How often the request with that identifier was executed. */
    public int runs(String effect) {
        AtomicInteger count = runs.get(effect);
        return count == null ? 0 : count.get();
    }

    /** The number of executions of each request with an identifier. */
    public Map<String, AtomicInteger> allRuns() {
        return runs;
    }

    /** The number of all executions. */
    public long served() {
        return served.get();
    }
}
