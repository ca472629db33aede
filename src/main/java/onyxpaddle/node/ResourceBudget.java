package onyxpaddle.node;

/**
 * What the node may hold, from the limits in its configuration: bytes of bodies on the heap, and descriptors for
 * clients and for servers. Pools share the first and the last, fronts the second. Used by the event loop alone.
 */
public final class ResourceBudget {
    /** For the JVM's own files, the selector, the listener, discovery, and accepts that are under way. */
    private static final int RESERVED_DESCRIPTORS = 64;
    /** The part of the client connections that may have work taken in; those beyond are refused as they ask. */
    private static final double SERVED_CLIENTS = 0.8;

    private final SharedLimit bytes;
    private final SharedLimit clients;
    private final SharedLimit servers;

    public ResourceBudget(int descriptors, long heap) {
        int usable = Math.max(16, descriptors - RESERVED_DESCRIPTORS);
        int forServers = usable * 2 / 5;
        bytes = new SharedLimit(heap / 2);
        servers = new SharedLimit(forServers);
        clients = new SharedLimit(usable - forServers);
    }

    /** A pool's parts of the node's bytes of bodies and of its connections to servers. */
    public record PoolShare(SharedLimit.Share bytes, SharedLimit.Share servers) {
        public void leave() {
            bytes.leave();
            servers.leave();
        }
    }

    public PoolShare pool() {
        return new PoolShare(bytes.join(), servers.join());
    }

    /** A front's part of the node's client connections. */
    public SharedLimit.Share front() {
        return clients.join();
    }

    /** Whether a front with this share has so many clients that a further request is turned away. */
    public boolean nearConnectionLimit(SharedLimit.Share front) {
        long most = front.most();
        return front.held() > most * SERVED_CLIENTS;
    }
}
