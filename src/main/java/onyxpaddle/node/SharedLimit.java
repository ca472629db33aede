package onyxpaddle.node;

import java.util.ArrayList;
import java.util.List;

/**
 * A limit, such as on bytes or descriptors, that several members share without being able to exhaust each other's part.
 * Half of it is divided evenly into guaranteed parts, the other half is taken first come, first served. Invariants: apart
 * from {@link Share#forceTake}, all members together hold no more than the total, and a member below its guarantee may
 * always take up to it. Not thread-safe.
 *
 * <p>This protects pools from one whose servers are silent, whose bodies and connections pile up, and from any other use
 * that grows without bound. The drawback: if one of many pools carries nearly all the traffic it can't use what the others
 * leave unused, which is at most half of the total.
 */
public final class SharedLimit {
    private static final double GUARANTEED_PART = 0.5;

    private final long total;
    private final List<Share> shares = new ArrayList<>();

    public SharedLimit(long total) {
        this.total = total;
    }

    /**
     * Adds a member. Guarantees shrink with each new member: one that holds more than its new guarantee keeps it, so a
     * member may get its guarantee only after others have given back what they hold beyond theirs.
     */
    public Share join() {
        Share share = new Share();
        shares.add(share);
        return share;
    }

    /** The total that all members hold. */
    public long held() {
        long sum = 0;
        for (Share share : shares) {
            sum += share.held;
        }
        return sum;
    }

    private long guarantee() {
        return shares.size() < 2 ? total : (long) (total * GUARANTEED_PART / shares.size());
    }

    /** A member's share of the limit. */
    public final class Share {
        private long held;
        private boolean leaving;

        private Share() {
        }

        public long held() {
            return held;
        }

        /** The most that this member could hold now, including what it holds: its guarantee and the free part of the rest. */
        public long maximum() {
            long guarantee = guarantee();
            long common = total - guarantee * shares.size();
            long sum = 0;
            for (Share share : shares) {
                sum += share.held;
                if (share != this) {
                    common -= Math.max(0, share.held - guarantee);
                }
            }
            // After guarantees have shrunk, others may hold more beyond theirs than the common part has.
            return Math.min(guarantee + Math.max(0, common), held + total - sum);
        }

        /** How much more it may take now of this part of its maximum; may be negative. */
        public long room(double part) {
            return (long) (part * maximum()) - held;
        }

        /** How much more it may take now; may be negative after guarantees have shrunk. */
        public long room() {
            return maximum() - held;
        }

        public boolean take(long count) {
            return take(count, 1);
        }

        /** Takes {@code count} if it then holds no more than this part of its maximum; otherwise takes nothing and returns false. */
        public boolean take(long count, double part) {
            if (held + count > (long) (part * maximum())) {
                return false;
            }
            held += count;
            return true;
        }

        /** Takes {@code count} regardless of the limit, such as for a connection that the system has accepted already. */
        public void forceTake(long count) {
            held += count;
        }

        public void giveBack(long count) {
            held -= count;
            if (leaving && held == 0) {
                shares.remove(this);
            }
        }

        /** Removes the member; its guarantee goes to the others once it has given back all that it holds. */
        public void leave() {
            leaving = true;
            giveBack(0);
        }
    }
}
