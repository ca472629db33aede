package onyxpaddle.http;

/** The heap bytes that all connections of a front may hold for requests which are not being handled yet. */
interface HeadBudget {
    /** Takes so many bytes; false if there are not as many. */
    boolean reserveHead(long bytes);

    void releaseHead(long bytes);
}
