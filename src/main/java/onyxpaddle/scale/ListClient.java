package onyxpaddle.scale;

/** What keeps a hollow node's list up to date. Used on the node's event loop. */
interface ListClient {
    void start();

    /** Asks again, where it had been turned away. */
    void subscribe();

    void stop();
}
