package onyxpaddle.node;

import java.util.ArrayList;
import java.util.List;

/**
 * One limit that several hold together, such as bytes or descriptors, of which none can use up what the others need.
 * Half of it is shared out evenly as guaranteed parts, the other half goes to whoever asks first. The invariant: but
 * for what {@link Share#forceTake} adds, all hold no more than the total, and a member that holds less than its guarantee may always take up to it. Used by one
 * thread alone.
 *
 * <p>Guards against a pool whose servers are silent, whose bodies and connections then pile up; it should cover any
 * use that grows without end. It does harm where one of many pools carries nearly all the traffic and is kept from
 * what the others leave unused: that is half of the total at the most.
 */
public final class SharedLimit {
    private static final double GUARANTEED = 0.5;

    private final long total;
    private final List<Share> shares = new ArrayList<>();

    public SharedLimit(long total) {
        this.total = total;
    }

    /**
     * A further member. Guarantees shrink as members come: one that held more than its new guarantee keeps it, and a
     * member may meet its guarantee late by what others held over theirs at that time.
     */
    public Share join() {
        Share share = new Share();
        shares.add(share);
        return share;
    }

    /** What all members hold together. */
    public long held() {
        long sum = 0;
        for (Share share : shares) {
            sum += share.held;
        }
        return sum;
    }

    private long guarantee() {
        return shares.size() < 2 ? total : (long) (total * GUARANTEED / shares.size());
    }

    /** One member's part of the limit. */
    public final class Share {
        private long held;
        private boolean left;

        private Share() {
        }

        public long held() {
            return held;
        }

        /** The most that this member could hold now if it gave up nothing: its guarantee, and what of the rest is free. */
        public long most() {
            long guarantee = guarantee();
            long common = total - guarantee * shares.size();
            long sum = 0;
            for (Share share : shares) {
                sum += share.held;
                if (share != this) {
                    common -= Math.max(0, share.held - guarantee);
                }
            }
            // Held over a guarantee that has shrunk since, others may have taken more than the common part has.
            return Math.min(guarantee + Math.max(0, common), held + total - sum);
        }

        /** How much more it may take now; below 0 after guarantees have shrunk. */
        public long room() {
            return most() - held;
        }

        public boolean take(long count) {
            return take(count, 1);
        }

        /** Takes so much as long as it holds no more than this part of its most after it; false, and nothing, beyond. */
        public boolean take(long count, double part) {
            if (held + count > (long) (part * most())) {
                return false;
            }
            held += count;
            return true;
        }

        /** Takes what cannot be helped, such as a connection that the system has accepted already. */
        public void forceTake(long count) {
            held += count;
        }

        public void giveBack(long count) {
            held -= count;
            if (left && held == 0) {
                shares.remove(this);
            }
        }

        /** The member goes; its guarantee is the others' once it has given back all that it held. */
        public void leave() {
            left = true;
            giveBack(0);
        }
    }
}
