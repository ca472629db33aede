package onyxpaddle.distribution;

/** The nodes that an entry applies to. If entries of several scopes have the same path, the later constant takes precedence. */
public enum Scope {
    /** All nodes. */
    FLEET("fleet"),
    /** The nodes that run beside one service. */
    SERVICE("service"),
    /** One node. */
    NODE("node");

    private final String text;

    Scope(String text) {
        this.text = text;
    }

    /** The first part of a key. */
    public String text() {
        return text;
    }
}
