package onyxpaddle.budget;

/**
 * The attempts that one request, and all requests that result from it, may still make. Shares are taken out and settled once each.
 *
 * <p>Invariant: {@code left + out + used = given}, with no term below 0, in whatever order shares are settled, late, twice or
 * never. So the attempts used by all budgets derived from one, directly or through others, never exceed what that one was given.
 */
public final class AttemptBudget {
    /** The fraction of the remaining attempts that a share leaves for later attempts. */
    private static final double RESERVED_FRACTION = 1.0 / 3;

    private final int given;
    private int left;
    private int out;
    private int used;
    private boolean closed;

    /** {@code given}: attempts, 0 or more. */
    public AttemptBudget(int given) {
        if (given < 0) {
            throw new IllegalArgumentException("attempt budget must not be negative: " + given);
        }
        this.given = given;
        this.left = given;
    }

    /** The part of a budget that was passed on with an attempt, until it is settled. */
    public final class Share {
        private final int size;
        private boolean settled;

        private Share(int size) {
            this.size = size;
        }

        /** The attempts that the share allows. */
        public int size() {
            return size;
        }

        /** Settles the share of an attempt that was never sent: nothing is used. */
        public void giveBack() {
            settle(0);
        }

        /** Settles the share of an attempt that ended and reported its use; the report is clamped to 1 up to the whole share. */
        public void used(int reported) {
            settle(Math.max(1, Math.min(size, reported)));
        }

        /** Settles the share of an attempt that ended without reporting its use: all of it counts as used. */
        public void spent() {
            settle(size);
        }

        /** Only the first call has an effect. */
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
     * Takes out the share of the next attempt; null where no attempt is left, or the budget is closed.
     *
     * @param innermost the attempt leads to no further attempts, and takes 1
     */
    public Share take(boolean innermost) {
        if (left == 0 || closed) {
            return null;
        }
        int reserved = innermost ? left - 1 : Math.min(left - 1, (int) Math.ceil(left * RESERVED_FRACTION));
        Share share = new Share(left - reserved);
        left -= share.size;
        out += share.size;
        return share;
    }

    /** Closes the budget when the request ends: no more shares are taken, and unsettled ones count as spent. Returns the total use. */
    public int close() {
        closed = true;
        return used + out;
    }

    /** The attempts that may still be taken. */
    public int left() {
        return closed ? 0 : left;
    }

    /** The attempts in shares that are not settled. */
    public int out() {
        return out;
    }

    /** The attempts that settled shares have used. */
    public int used() {
        return used;
    }

    public int given() {
        return given;
    }
}
