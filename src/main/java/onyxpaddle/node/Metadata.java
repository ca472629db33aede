package onyxpaddle.node;

/** What a front and an upstream of one protocol exchange besides a body, such as a head; opaque to the core. */
public interface Metadata {
    /** The name by which the request is sent to a server of another protocol; null if it can't be. */
    default String mapped() {
        return null;
    }
}
