package onyxpaddle.distribution;

/**
 * The entries that a client gets: a node those of the fleet, of its service and its own; a replica all.
 *
 * @param node {@code null} for all entries
 * @param service the service beside which the node runs; empty if there is none
 */
public record Subscription(String node, String service) {
    /** All entries, as requested by replicas. */
    public static final Subscription ALL = new Subscription(null, "");

    /** @throws IllegalArgumentException if a name has invalid syntax */
    public Subscription {
        if (node != null && !EntryKey.isName(node)) {
            throw new IllegalArgumentException("`" + Excerpt.of(node) + "` is not a valid node name");
        }
        if (!service.isEmpty() && !EntryKey.isName(service)) {
            throw new IllegalArgumentException("`" + Excerpt.of(service) + "` is not a valid service name");
        }
    }

    public boolean all() {
        return node == null;
    }

    /** Whether the entry of this key belongs to the subscription. */
    public boolean matches(EntryKey key) {
        return all() || switch (key.scope()) {
            case FLEET -> true;
            case SERVICE -> key.owner().equals(service);
            case NODE -> key.owner().equals(node);
        };
    }
}
