package onyxpaddle.node;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * How a pool's requests ended, by class, and how many attempts went out whole. Each is counted once, by whoever knows that
 * it is so; nothing else keeps such a count. Bounded by the classes that it starts with: a name that is not among them is
 * not counted. Used by the event loop alone.
 */
public final class RequestCounts {
    /** How a request ended for its caller: served, refused, failed. */
    public enum RequestResult { SUCCESS, BUSY, FAILURE }

    /** A node whose classes a reload changes again and again must not grow for it. */
    private static final int MOST_CLASSES = 4_000;

    private final Map<String, long[]> classes = new LinkedHashMap<>();
    private long attempts;

    public RequestCounts(Collection<String> classNames) {
        know(classNames);
    }

    /** Counts these classes too from now on; those known before go on. Beyond {@value #MOST_CLASSES} none is added. */
    public void know(Collection<String> classNames) {
        for (String name : classNames) {
            if (classes.size() < MOST_CLASSES) {
                classes.computeIfAbsent(name, n -> new long[RequestResult.values().length]);
            }
        }
    }

    public void ended(String requestClass, RequestResult how) {
        long[] counts = classes.get(requestClass);
        if (counts != null) {
            counts[how.ordinal()]++;
        }
    }

    void attemptWritten() {
        attempts++;
    }

    public Collection<String> classes() {
        return classes.keySet();
    }

    public long count(String requestClass, RequestResult how) {
        return classes.get(requestClass)[how.ordinal()];
    }

    /** Attempts whose request's last byte the system took for a server. */
    public long attempts() {
        return attempts;
    }
}
