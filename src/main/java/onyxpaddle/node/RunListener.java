package onyxpaddle.node;

/** Is told of the requests that must run once, for the other process of the node during a replacement. */
public interface RunListener {
    /** An attempt of the request begins, or may have run. */
    void mayHaveRun(String id);

    /** All attempts of the request have ended, and none of them has run. */
    void neverRan(String id);
}
