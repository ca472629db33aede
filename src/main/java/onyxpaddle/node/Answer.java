package onyxpaddle.node;

/** A server's complete answer, as far as it is forwarded. Its receiver releases the body or hands it on. */
public record Answer(Metadata head, Body body) {
}
