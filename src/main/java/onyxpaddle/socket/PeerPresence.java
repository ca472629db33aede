package onyxpaddle.socket;

/**
 * The latest time at which the peer of a connection had certainly not closed it, from the reads of its socket. A close lies behind all
 * that the peer sent before: what is read proves that the peer was there when it arrived, and an empty socket that it was there then. While
 * more was sent than fits into the socket, the rest waits in the peer's, and an empty socket proves nothing for a moment. It does no I/O
 * and gets all times, in nanoseconds of the node's clock.
 */
final class PeerPresence {
    /** In bytes; as long as no more lies unread, nothing waits in the peer's socket: half of Linux's first receive window. */
    static final long WINDOW = 32 * 1024;
    /** Time in which bytes that wait in the peer's socket arrive once the node's has room. */
    static final long QUIET = 20_000_000L;

    private long presentAt;
    /** Bytes read since the socket was empty last. */
    private long backlog;
    private boolean wasCrowded;
    /** When the last backlog beyond {@link #WINDOW} had been read. */
    private long crowdedUntil;

    /** {@code establishedAt}: a time before which the connection was not established. */
    PeerPresence(long establishedAt) {
        presentAt = establishedAt;
    }

    /**
     * Records a read that did not find the end of the connection.
     *
     * @param startedAt a time before the read
     * @param bound a time before which the bytes that were read did not arrive
     * @param count of the bytes
     * @param emptied whether all that had arrived was read
     */
    void read(long startedAt, long bound, int count, boolean emptied) {
        if (count > 0 && backlog == 0) {
            present(bound);
        }
        backlog += count;
        if (emptied) {
            endBacklog(startedAt);
        }
        if (count == 0) {
            present(startedAt);
        }
    }

    private void endBacklog(long at) {
        if (backlog > WINDOW) {
            wasCrowded = true;
            crowdedUntil = at;
        }
        backlog = 0;
    }

    private void present(long at) {
        if (!wasCrowded || at - crowdedUntil >= QUIET) {
            wasCrowded = false;
            presentAt = Math.max(presentAt, at);
        }
    }

    long presentAt() {
        return presentAt;
    }
}
