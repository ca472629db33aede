package onyxpaddle.node;

import java.util.Locale;

/** Delays that a node measures on itself. */
public enum NodeDelay {
    /** A turn of the event loop, from one poll to the next. */
    TURN("A turn of the event loop, from one poll to the next."),
    /** The time by which a poll took longer than it was to block. */
    POLL("How much longer a poll of the event loop took than it was to block."),
    /** An upper bound of how long a connection waited to be accepted. */
    ACCEPT("How long a connection waited to be accepted, at most."),
    /** An upper bound of how long a request lay unread. */
    READ("How long a request lay unread, at most.");

    private final String help;

    NodeDelay(String help) {
        this.help = help;
    }

    /** What it is, for a metric's description. */
    public String help() {
        return help;
    }

    /** Its name in metrics and log lines. */
    public String label() {
        return name().toLowerCase(Locale.ROOT);
    }
}
