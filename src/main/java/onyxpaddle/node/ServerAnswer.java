package onyxpaddle.node;

/** A server's 200 as far as it is passed on, held whole. */
record ServerAnswer(String contentType, Body body) {
}
