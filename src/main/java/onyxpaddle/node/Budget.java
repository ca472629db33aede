package onyxpaddle.node;

/**
 * What the node may hold, from the limits in its configuration: bytes of bodies on the heap, and descriptors for
 * clients and for servers. Used by the event loop alone.
 */
final class Budget {
    /** For the JVM's own files, the selector, the listener, discovery, and accepts that are under way. */
    private static final int RESERVED_DESCRIPTORS = 64;
    /** The part of the bytes that only small bodies may use, so that a few long uploads don't stop the rest. */
    private static final double KEPT_FOR_SMALL = 0.25;
    private static final int SMALL = 64 * 1024;

    private final long bytes;
    private long held;
    final int clients;
    /** Of the client connections, how many may have work taken in; those beyond are refused as they ask. */
    final int servedClients;
    final int servers;

    Budget(int descriptors, long heap) {
        int usable = Math.max(16, descriptors - RESERVED_DESCRIPTORS);
        servers = usable * 2 / 5;
        clients = usable - servers;
        servedClients = clients * 4 / 5;
        bytes = heap / 2;
    }

    /** Takes so many bytes for a body that holds {@code before} already; false where there are none left. */
    boolean take(int more, long before) {
        long open = before + more <= SMALL ? bytes : (long) (bytes * (1 - KEPT_FOR_SMALL));
        if (held + more > open) {
            return false;
        }
        held += more;
        return true;
    }

    void giveBack(long count) {
        held -= count;
    }

    long held() {
        return held;
    }
}
