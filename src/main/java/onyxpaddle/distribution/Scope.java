package onyxpaddle.distribution;

/** Which nodes an entry concerns. Where several hold for one path, the later of these goes before the earlier. */
public enum Scope {
    /** All nodes. */
    FLEET("fleet"),
    /** The nodes beside one service. */
    SERVICE("service"),
    /** One node. */
    NODE("node");

    private final String text;

    Scope(String text) {
        this.text = text;
    }

    /** The word at the start of a key. */
    public String text() {
        return text;
    }
}
