package onyxpaddle.measure;

/** What a client writes, and how it reads, over one connection. */
interface PeerConduct {
    /** How it reads what comes. */
    enum Reading {
        AT_ONCE, SLOWLY, NEVER
    }

    /** How it leaves. */
    enum End {
        STAYS, CLOSES, RESETS
    }

    /** What it writes first; {@code id}: of its request. */
    byte[] opening(String id);

    /** What it writes in each interval after that; empty for nothing. */
    default byte[] more(String id) {
        return new byte[0];
    }

    /** Whether it writes more after its opening, in intervals. */
    default boolean writesMore() {
        return false;
    }

    /** Between two writes of {@link #more}, in milliseconds. */
    default int intervalMs() {
        return 0;
    }

    /** How it reads. */
    default Reading reading() {
        return Reading.AT_ONCE;
    }

    /** Whether it begins anew on the same connection as soon as all is written. */
    default boolean repeats() {
        return false;
    }

    /** How it leaves after {@link #leavesAfterMs}. */
    default End end() {
        return End.STAYS;
    }

    /** When it leaves after it has begun, in milliseconds. */
    default int leavesAfterMs() {
        return 0;
    }
}
