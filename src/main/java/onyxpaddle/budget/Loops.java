package onyxpaddle.budget;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Finds requests that come back to a node: by the path that they carry, by their depth, and, where an application dropped
 * the path but kept the id, by how many of one id are at this node at once. A path of its own name is proof; a number of
 * the same id is not, as one request may fan out, so many are allowed.
 */
public final class Loops {
    private final String node;
    private final int deepest;
    private final int mostAtOnce;
    private final int mostIds;
    /** How many requests of each id are here now. */
    private final Map<String, Integer> here = new LinkedHashMap<>();

    /**
     * {@code deepest}: nodes that a request may have passed before this one; {@code mostAtOnce}: requests of one id here
     * at once; {@code mostIds}: ids that are remembered, beyond which new ones are not counted.
     */
    public Loops(String node, int deepest, int mostAtOnce, int mostIds) {
        this.node = node;
        this.deepest = deepest;
        this.mostAtOnce = mostAtOnce;
        this.mostIds = mostIds;
    }

    /** Why a request must not go on, for people; null where it may, and {@link #left} then follows once it has ended. */
    public String entered(Carried carried) {
        int before = carried.path().lastIndexOf(node);
        if (before >= 0) {
            return "a loop: " + String.join(" -> ", carried.path().subList(before, carried.path().size())) + " -> " + node;
        }
        if (carried.depth() >= deepest) {
            return "passed " + carried.depth() + " nodes, " + String.join(" -> ", carried.path()) + "; at most " + deepest
                + " are allowed";
        }
        int already = here.getOrDefault(carried.id(), 0);
        if (already >= mostAtOnce) {
            return "a loop, it seems: " + already + " requests that come of " + carried.id() + " are here at once";
        }
        if (already > 0 || here.size() < mostIds) {
            here.put(carried.id(), already + 1);
        }
        return null;
    }

    /** A request that may go on has ended. */
    public void left(Carried carried) {
        here.computeIfPresent(carried.id(), (id, count) -> count == 1 ? null : count - 1);
    }

    /** How many ids are remembered. */
    int remembered() {
        return here.size();
    }
}
