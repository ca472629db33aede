package onyxpaddle.scale;

import java.io.Serializable;

/** What a process of hollow nodes answers. */
sealed interface HollowReply extends Serializable {
    /** Done. */
    record Done() implements HollowReply {
    }

    /**
     * How current the watches are.
     *
     * @param behind watches that don't hold the version asked for
     * @param lastAtNanos when the last of the others got it, by the machine's monotonic clock
     */
    record Current(int watches, int behind, long lastAtNanos) implements HollowReply {
    }

    /** What the process has used: processor time since its start, and its resident memory. */
    record Used(long cpuNanos, long residentBytes, int nodes) implements HollowReply {
    }

    /** It could not do that. */
    record Failed(String why) implements HollowReply {
    }
}
