package onyxpaddle.scale;

import java.io.Serializable;

/** What a process of nodes that follow control processes answers. */
sealed interface ConfiguredReply extends Serializable {
    /** Done. */
    record Done() implements ConfiguredReply {
    }

    /** How many nodes have it in force, and when the last of these applied one, by the machine's monotonic clock. */
    record InForce(int nodes, int inForce, long lastAtNanos) implements ConfiguredReply {
    }

    /** Processor time of the process's living threads, and bytes that it read and wrote by system calls, of sockets and files. */
    record Used(long cpuNanos, long bytes) implements ConfiguredReply {
    }

    /** It could not do that. */
    record Failed(String why) implements ConfiguredReply {
    }
}
