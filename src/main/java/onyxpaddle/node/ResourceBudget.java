package onyxpaddle.node;

/**
 * The resources that a node may hold, from the limits in its configuration: heap bytes of bodies and of heads, and file descriptors
 * for client and for server connections. Pools share the bytes and the server connections, fronts share the client
 * connections. Used on the event loop only.
 */
public final class ResourceBudget {
    /** Kept for the JVM's own files, the selector, the listener, discovery, and accepts in progress. */
    private static final int RESERVED_DESCRIPTORS = 64;
    /** The part of the client connections up to which requests are admitted; beyond it new requests are refused. */
    private static final double ADMITTING_PART = 0.8;

    /** The parts of the heap that bodies, and what waits to be written, and heads of requests may take. */
    private static final double BODIES_PART = 3 / 8.0;
    private static final double HEADS_PART = 1 / 8.0;

    private final SharedLimit bytes;
    private final SharedLimit heads;
    private final SharedLimit clients;
    private final SharedLimit servers;

    public ResourceBudget(int descriptors, long heap) {
        int usable = Math.max(16, descriptors - RESERVED_DESCRIPTORS);
        int forServers = usable * 2 / 5;
        bytes = new SharedLimit((long) (heap * BODIES_PART));
        heads = new SharedLimit((long) (heap * HEADS_PART));
        servers = new SharedLimit(forServers);
        clients = new SharedLimit(usable - forServers);
    }

    /** A pool's shares of the node's body bytes and of its server connections. */
    public record PoolShare(SharedLimit.Share bytes, SharedLimit.Share servers) {
        public void leave() {
            bytes.leave();
            servers.leave();
        }
    }

    public PoolShare pool() {
        return new PoolShare(bytes.join(), servers.join());
    }

    /** Creates a front's share of the node's client connections. */
    public SharedLimit.Share front() {
        return clients.join();
    }

    /** Creates a front's share of the node's memory for heads of requests. */
    public SharedLimit.Share heads() {
        return heads.join();
    }

    /** The bytes of heads that all fronts hold. */
    public long heldForHeads() {
        return heads.held();
    }

    /** Whether a front with this share has so many clients that further requests are refused. */
    public boolean nearConnectionLimit(SharedLimit.Share front) {
        long maximum = front.maximum();
        return front.held() > maximum * ADMITTING_PART;
    }
}
