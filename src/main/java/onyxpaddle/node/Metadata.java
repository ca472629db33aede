package onyxpaddle.node;

/** What a front and an upstream of one protocol tell each other beside a body, such as a head; the core never looks. */
public interface Metadata {
    /** By what name a request goes to a server of another protocol; null where it goes to none. */
    default String mapped() {
        return null;
    }
}
