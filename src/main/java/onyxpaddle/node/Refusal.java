package onyxpaddle.node;

/** What is known of a request that is refused, and so why its caller may try again. */
public enum Refusal {
    /** No attempt of it has run. */
    NEVER_RAN,
    /** It may have run, and running it again does no harm. */
    REPEATABLE,
    /** It may have run, and servers recognize its key at least until its caller can come again. */
    REPEATABLE_WITH_KEY,
    /** It may have run, and when its caller comes again a server may not recognize it. */
    MAY_RUN_TWICE;

    /** Whether the advice to try again holds. */
    public boolean repeatable() {
        return this != MAY_RUN_TWICE;
    }
}
