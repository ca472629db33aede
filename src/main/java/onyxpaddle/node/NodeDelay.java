package onyxpaddle.node;

import java.util.Locale;

/** Delays that a node measures. */
public enum NodeDelay {
    /** A turn of the event loop, from one poll to the next. */
    TURN("A turn of the event loop, from one poll to the next."),
    /** The time by which a poll took longer than it was to block. */
    POLL("How much longer a poll of the event loop took than it was to block."),
    /** An upper bound of how long a connection waited to be accepted. */
    ACCEPT("How long a connection waited to be accepted, at most."),
    /** An upper bound of how long a request lay unread. */
    READ("How long a request lay unread, at most."),
    /** How long a request that had been read waited for the answers of those before it on its connection. */
    QUEUE("How long a request waited behind others on its connection.", false);

    private final String help;
    private final boolean own;

    NodeDelay(String help) {
        this(help, true);
    }

    NodeDelay(String help, boolean own) {
        this.help = help;
        this.own = own;
    }

    /** Whether it is the process's own delay: it was stopped, or had too little processor time. Others depend on its peers. */
    boolean own() {
        return own;
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
