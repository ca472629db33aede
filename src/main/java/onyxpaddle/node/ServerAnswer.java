package onyxpaddle.node;

/** The head of a server's 200 as far as it is passed on, with the body where that is held whole. */
record ServerAnswer(String contentType, long length, Body body) {
}
