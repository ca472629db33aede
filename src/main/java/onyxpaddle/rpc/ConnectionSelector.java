package onyxpaddle.rpc;

import java.util.List;

/**
 * Decides which connection to a server carries the next call: of those that are sound and have a place, the one with the
 * fewest calls; a new one where none is and the limit allows; else none, and the call never ran.
 *
 * <p>A connection stalls when a call has waited on it for much longer than its server's calls usually take and nothing
 * at all has come meanwhile, or when its bytes are not taken. Guards against calls that queue behind one that blocks
 * (head of line); it should cover any connection on which the server has stopped. It does harm where a server answers
 * in bursts with long silence between them: it then gets more connections than it needs, up to the limit.
 */
final class ConnectionSelector {
    static final int DIAL = -1;
    static final int NONE = -2;
    /** A silence shorter than this is none. */
    private static final long SHORTEST_STALL = 250_000_000L;
    /** Silence for so many times what calls usually take. */
    private static final double STALL_MULTIPLE = 4;
    /** Before any call has been answered. */
    private static final long USUAL_AT_FIRST = 250_000_000L;
    /** Weight of one more answer in what calls usually take. */
    private static final double STEP = 0.1;
    /** Calls beyond which a further connection is better than one more call on the same. */
    private static final int CROWDED = 16;

    /** A connection: its calls, whether it has a place for one more, and whether it stalls. */
    record Seen(int inFlight, boolean hasPlace, boolean stalled) {
    }

    private final int mostConnections;
    private double usual;

    ConnectionSelector(int mostConnections) {
        this.mostConnections = mostConnections;
    }

    /** A call took so many nanoseconds. */
    void answered(long took) {
        usual += usual == 0 ? took : STEP * (took - usual);
    }

    /** How long a silence is one that tells, in nanoseconds. */
    long longestSilence() {
        return Math.max(SHORTEST_STALL, (long) (STALL_MULTIPLE * (usual == 0 ? USUAL_AT_FIRST : usual)));
    }

    /**
     * Whether a connection stalls: {@code oldest} is when the call was sent that waits longest, {@link Long#MAX_VALUE}
     * for none, and {@code heard} when bytes last came, in nanoseconds.
     */
    boolean stalls(long oldest, long heard, long now) {
        return oldest != Long.MAX_VALUE && now - Math.max(oldest, heard) > longestSilence();
    }

    /** The index of the connection to use, {@link #DIAL} or {@link #NONE}. */
    int choose(List<Seen> open) {
        int best = NONE;
        for (int i = 0; i < open.size(); i++) {
            Seen seen = open.get(i);
            if (seen.hasPlace() && !seen.stalled() && (best < 0 || seen.inFlight() < open.get(best).inFlight())) {
                best = i;
            }
        }
        boolean another = open.size() < mostConnections;
        if (another && (best < 0 || open.get(best).inFlight() >= CROWDED)) {
            return DIAL;
        }
        return best;
    }
}
