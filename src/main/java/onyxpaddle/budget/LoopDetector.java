package onyxpaddle.budget;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Detects requests that return to a node: by the path that they carry, by their depth, and, where an application dropped the path but kept
 * the id, by the number of concurrent requests with the same id. The node's own name in the path is proof of a loop. Several requests with
 * one id are not, as a request may fan out, so a number of them is allowed.
 */
public final class LoopDetector {
    private final String node;
    private final int maxDepth;
    private final int maxConcurrentPerId;
    private final int maxIds;
    /** The concurrent requests by id. */
    private final Map<String, Integer> concurrent = new LinkedHashMap<>();

    /**
     * {@code maxDepth}: nodes that a request may have passed before this one; {@code maxConcurrentPerId}: requests of one id here at the
     * same time; {@code maxIds}: ids that are counted, beyond which new ones are not.
     */
    public LoopDetector(String node, int maxDepth, int maxConcurrentPerId, int maxIds) {
        this.node = node;
        this.maxDepth = maxDepth;
        this.maxConcurrentPerId = maxConcurrentPerId;
        this.maxIds = maxIds;
    }

    /** The reason to refuse a request, for display; null where it is admitted, in which case {@link #left} must follow when it ends. */
    public String entered(BudgetHeader header) {
        int before = header.path().lastIndexOf(node);
        if (before >= 0) {
            return "loop: " + String.join(" -> ", header.path().subList(before, header.path().size())) + " -> " + node;
        }
        if (header.depth() >= maxDepth) {
            return "passed " + header.depth() + " nodes, " + String.join(" -> ", header.path()) + "; at most " + maxDepth
                + " are allowed";
        }
        int already = concurrent.getOrDefault(header.id(), 0);
        if (already >= maxConcurrentPerId) {
            return "probable loop: " + already + " concurrent requests with the id " + header.id() + " at this node";
        }
        if (already > 0 || concurrent.size() < maxIds) {
            concurrent.put(header.id(), already + 1);
        }
        return null;
    }

    /** An admitted request has ended. */
    public void left(BudgetHeader header) {
        concurrent.computeIfPresent(header.id(), (id, count) -> count == 1 ? null : count - 1);
    }

    /** The number of ids that are counted. */
    int trackedIds() {
        return concurrent.size();
    }
}
