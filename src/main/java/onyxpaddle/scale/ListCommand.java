package onyxpaddle.scale;

import java.io.Serializable;
import java.util.List;

/** What a harness tells a list service's process. */
sealed interface ListCommand extends Serializable {
    /** Opens a door for each of these nodes to a service; replies {@link ListReply.Opened}. */
    record Open(int service, List<Integer> nodes) implements ListCommand {
        public Open {
            nodes = List.copyOf(nodes);
        }
    }

    /** Puts these lines into a service's list in one version; replies {@link ListReply.Versioned}. */
    record Put(int service, List<ListedServer> lines) implements ListCommand {
        public Put {
            lines = List.copyOf(lines);
        }
    }

    /** Answers 503 to all from now on and ends watches so, or answers again. */
    record Down(boolean down) implements ListCommand {
    }

    /** These nodes hear nothing from now on; or all can reach it again, over new connections. */
    record Cut(List<Integer> nodes) implements ListCommand {
        public Cut {
            nodes = List.copyOf(nodes);
        }
    }

    /** It makes so many whole lists a second from now on. */
    record Capacity(double wholesPerSecond) implements ListCommand {
    }

    /** Replies {@link ListReply.Live}: the heap in use once garbage is collected. */
    record ReadLive() implements ListCommand {
    }

    /** Counts begin anew. */
    record Reset() implements ListCommand {
    }

    /** Replies {@link ListReply.Cpu}: less work for the service than all counts. */
    record ReadCpu() implements ListCommand {
    }

    /** Replies {@link ListReply.Counts}. */
    record Read() implements ListCommand {
    }
}
