package onyxpaddle.scale;

import java.io.Serializable;
import java.util.List;

/** What a list service's process answers its harness. */
sealed interface ListReply extends Serializable {
    /** Done. */
    record Done() implements ListReply {
    }

    /** The port that all doors share, each on a loopback address of its own. */
    record Opened(int port) implements ListReply {
    }

    /** A list has this version since then; {@code atNanos}: the machine's monotonic clock. */
    record Versioned(long version, long atNanos) implements ListReply {
    }

    /**
     * What one node's watch of one service cost.
     *
     * @param turnedAway answered 503
     * @param bytesIn read from it, HTTP included
     * @param bytesOut written to it, HTTP included
     * @param worst8s the most that was written to it in any 8 whole seconds
     * @param meanInterval seconds from a call to the next; not a number where there were fewer than two
     */
    record Door(int node, int service, long calls, long wholes, long differences, long turnedAway, long bytesIn, long bytesOut,
            long worst8s, double meanInterval) implements Serializable {
    }

    /**
     * All since the last reset.
     *
     * @param seconds since the reset
     * @param mostCalls the most calls in a second
     * @param mostCallsTenth the most in a tenth of a second
     * @param usualMostTenth of each whole second the most in a tenth, the median of these: one stall of the machine does not move it
     * @param residentBytes of the process
     */
    record Counts(double seconds, int mostCalls, int mostCallsTenth, double usualMostTenth, long residentBytes, List<Door> doors) implements ListReply {
        public Counts {
            doors = List.copyOf(doors);
        }
    }

    /** Bytes of the heap in use once garbage is collected. */
    record Live(long bytes) implements ListReply {
    }

    /** Processor time of the process since its start. */
    record Cpu(long nanos) implements ListReply {
    }

    /** It could not do that. */
    record Failed(String why) implements ListReply {
    }
}
