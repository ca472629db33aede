package onyxpaddle.budget;

/**
 * The attempts that one request, and all that comes of it, may still make. Shares are taken out and settled once each.
 *
 * <p>The invariant: {@code left + out + used = given}, none of them below 0, whatever is settled in whatever order, late,
 * twice or never. So what is used in all purses drawn from one, and from those again, is never more than that one was
 * given.
 */
public final class Purse {
    /** Part of what is left that stays back from a share, for what comes after it. */
    private static final double KEPT_BACK = 1.0 / 3;

    private final int given;
    private int left;
    private int out;
    private int used;
    private boolean closed;

    /** {@code given}: attempts, 0 or more. */
    public Purse(int given) {
        if (given < 0) {
            throw new IllegalArgumentException("a purse of " + given);
        }
        this.given = given;
        this.left = given;
    }

    /** Part of a purse that has gone with an attempt, until it is settled. */
    public final class Share {
        private final int size;
        private boolean settled;

        private Share(int size) {
            this.size = size;
        }

        /** Attempts that it allows. */
        public int size() {
            return size;
        }

        /** The attempt never began: it has cost nothing. */
        public void giveBack() {
            settle(0);
        }

        /** The attempt has ended and says how many were used; what it says is taken as 1 to the whole share. */
        public void used(int said) {
            settle(Math.max(1, Math.min(size, said)));
        }

        /** The attempt has ended and nothing says how many were used. */
        public void spent() {
            settle(size);
        }

        /** Once; what comes after that is of no effect. */
        private void settle(int cost) {
            if (!settled) {
                settled = true;
                out -= size;
                used += cost;
                left += size - cost;
            }
        }
    }

    /**
     * Takes the share of a next attempt out; null where nothing is left, or the purse is closed.
     *
     * @param innermost the attempt leads to no further one, and takes 1
     */
    public Share take(boolean innermost) {
        if (left == 0 || closed) {
            return null;
        }
        int keep = innermost ? left - 1 : Math.min(left - 1, (int) Math.ceil(left * KEPT_BACK));
        Share share = new Share(left - keep);
        left -= share.size;
        out += share.size;
        return share;
    }

    /** The request has ended: nothing more is taken, and what is still out is spent. Returns what was used in all. */
    public int close() {
        closed = true;
        return used + out;
    }

    /** What may still be taken. */
    public int left() {
        return closed ? 0 : left;
    }

    /** What is taken and not settled. */
    public int out() {
        return out;
    }

    /** What was used for good. */
    public int used() {
        return used;
    }

    public int given() {
        return given;
    }
}
