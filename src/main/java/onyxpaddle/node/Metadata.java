package onyxpaddle.node;

/** What a front and an upstream of one protocol tell each other beside a body, such as a head; the core never looks. */
public interface Metadata {
}
