package onyxpaddle.node;

/** A server's answer as far as it is passed on, held whole. Whoever is given one releases its body, or passes it on. */
public record Answer(Metadata head, Body body) {
}
