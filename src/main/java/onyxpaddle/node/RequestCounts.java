package onyxpaddle.node;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Counts request results by class, and attempts that were written completely. Each is counted once, and nowhere else but
 * here. Bounded by the registered classes: results of other classes are not counted. Used on the event loop only.
 */
public final class RequestCounts {
    /** How a request ended for its caller: served, refused or failed. */
    public enum RequestResult { SUCCESS, BUSY, FAILURE }

    /** Bounds the growth over reloads that keep changing the classes. */
    private static final int MAX_CLASSES = 4_000;

    private final Map<String, long[]> classes = new LinkedHashMap<>();
    private final NodeEvents events;
    private long attempts;

    public RequestCounts(Collection<String> classNames) {
        this(classNames, new NodeEvents());
    }

    /** {@code events}: where the same node's events are counted. */
    public RequestCounts(Collection<String> classNames, NodeEvents events) {
        this.events = events;
        know(classNames);
    }

    /** Counts of the node's events by their reasons. */
    public NodeEvents events() {
        return events;
    }

    /** Registers further classes and keeps the earlier ones. Beyond {@value #MAX_CLASSES} classes none is added. */
    public void know(Collection<String> classNames) {
        for (String name : classNames) {
            if (classes.size() < MAX_CLASSES) {
                classes.computeIfAbsent(name, n -> new long[RequestResult.values().length]);
            }
        }
    }

    public void ended(String requestClass, RequestResult result) {
        long[] counts = classes.get(requestClass);
        if (counts != null) {
            counts[result.ordinal()]++;
        }
    }

    void attemptWritten() {
        attempts++;
    }

    public Collection<String> classes() {
        return classes.keySet();
    }

    public long count(String requestClass, RequestResult result) {
        return classes.get(requestClass)[result.ordinal()];
    }

    /** The number of attempts of which the operating system has the request's last byte. */
    public long attempts() {
        return attempts;
    }
}
