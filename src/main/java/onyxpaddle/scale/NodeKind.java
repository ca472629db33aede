package onyxpaddle.scale;

/** The nodes that a fleet has. */
public enum NodeKind {
    /** Before a first tier, told by its platform; one discovery that all nodes ask. */
    FRONT,
    /** Beside a server, by a configuration of its own with a pool for each service that it calls. */
    SIDECAR
}
