package onyxpaddle.scale;

import java.io.Serializable;
import java.util.List;

/** What a harness tells a process of nodes that follow control processes. */
sealed interface ConfiguredCommand extends Serializable {
    /** A node and the service that it belongs to. */
    record Member(NodePlan plan, String service) implements Serializable {
    }

    /** Starts these, all at once; {@code replicas}: as {@code ADDRESS:PORT}; {@code folder}: where nodes keep what is in force. */
    record Start(List<Member> members, List<String> replicas, String folder) implements ConfiguredCommand {
        public Start {
            members = List.copyOf(members);
            replicas = List.copyOf(replicas);
        }
    }

    /** Waits until all have a version at least as new in force; its text form is {@code E.N}. */
    record AwaitInForce(String version, long patienceMs) implements ConfiguredCommand {
    }

    /** Replies {@link ConfiguredReply.Used}. */
    record Read() implements ConfiguredCommand {
    }
}
