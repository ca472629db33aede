package onyxpaddle.distribution;

/**
 * Which entries somebody is told of: a node those of the fleet, of its service and its own; a replica all.
 *
 * @param node null for all
 * @param service empty where the node stands beside none
 */
public record Subscription(String node, String service) {
    /** Everything, as replicas ask for it. */
    public static final Subscription ALL = new Subscription(null, "");

    /** @throws IllegalArgumentException where a name does not have its form */
    public Subscription {
        if (node != null && !EntryKey.isName(node)) {
            throw new IllegalArgumentException("`" + Shortened.of(node) + "` is no name of a node");
        }
        if (!service.isEmpty() && !EntryKey.isName(service)) {
            throw new IllegalArgumentException("`" + Shortened.of(service) + "` is no name of a service");
        }
    }

    public boolean all() {
        return node == null;
    }

    /** Whether an entry of this key is told. */
    public boolean matches(EntryKey key) {
        return all() || switch (key.scope()) {
            case FLEET -> true;
            case SERVICE -> key.owner().equals(service);
            case NODE -> key.owner().equals(node);
        };
    }
}
