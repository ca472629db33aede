package onyxpaddle.scale;

import java.io.Serializable;
import java.util.List;
import java.util.Map;

/** What a harness tells a process of hollow nodes. */
sealed interface HollowCommand extends Serializable {
    /** Starts these, all at once; {@code siblings}: how many fronts the fleet has. Replies {@link HollowReply.Done}. */
    record Start(List<NodePlan> nodes, int siblings) implements HollowCommand {
        public Start {
            nodes = List.copyOf(nodes);
        }
    }

    /** Ends these as if killed. */
    record Stop(List<Integer> nodes) implements HollowCommand {
        public Stop {
            nodes = List.copyOf(nodes);
        }
    }

    /** Waits until all watches hold at least these versions, by service; replies {@link HollowReply.Current}. */
    record AwaitCurrent(Map<Integer, Long> versions, long patienceMs) implements HollowCommand {
        public AwaitCurrent {
            versions = Map.copyOf(versions);
        }
    }

    /** Replies {@link HollowReply.Used}. */
    record Read() implements HollowCommand {
    }
}
