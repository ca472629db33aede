package onyxpaddle.node;

/**
 * Decides whether a pool that holds so many requests takes one more. Guards an application from more work at once than
 * it says it bears: what goes beyond that is refused at once, with when to come back, rather than queued. The last
 * tenth is kept for the classes worth most. It does harm where the limit is set lower than what the application bears.
 */
public final class InFlightLimit {
    /** Part of the limit open to all classes. */
    private static final double OPEN_TO_ALL = 0.9;
    /** Weight of one more answer in the usual time to one. */
    private static final double STEP = 0.1;

    private final int most;
    private final int openToAll;
    private final double highestWorth;
    private double usual;

    /** {@code most}: requests at once; {@code highestWorth}: of the classes that go to the pool. */
    public InFlightLimit(int most, double highestWorth) {
        this.most = most;
        this.openToAll = Math.max(1, (int) (OPEN_TO_ALL * most));
        this.highestWorth = highestWorth;
    }

    public boolean admits(int inFlight, double worth) {
        return inFlight < (worth >= highestWorth ? most : openToAll);
    }

    /** An answer came after so many nanoseconds. */
    public void answered(long took) {
        usual += usual == 0 ? took : STEP * (took - usual);
    }

    /** When one that is refused may come back, in nanoseconds: by then some that are in flight have their answers. */
    public long retryAfter() {
        return Math.max(10_000_000L, (long) usual);
    }
}
