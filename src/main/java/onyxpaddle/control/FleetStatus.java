package onyxpaddle.control;

import java.util.Collection;
import java.util.List;
import java.util.TreeMap;
import onyxpaddle.distribution.ConfigurationVersion;

/**
 * The combined status of several control processes, with the most recent report of each node.
 *
 * @param processes the processes that answered
 * @param failures the errors of the others
 */
public record FleetStatus(List<Status> processes, List<String> failures) {
    /** Nodes send a request every few seconds; one without a request for this long is down or partitioned. */
    public static final long SILENT_MS = 30_000;

    public FleetStatus {
        processes = List.copyOf(processes);
        failures = List.copyOf(failures);
    }

    /** Returns the most recent report of each node, sorted by name. */
    public Collection<NodeReport> nodes() {
        TreeMap<String, NodeReport> newest = new TreeMap<>();
        for (Status process : processes) {
            for (NodeReport node : process.nodes()) {
                newest.merge(node.node(), node, (a, b) -> a.ageMs() <= b.ageMs() ? a : b);
            }
        }
        return newest.values();
    }

    /** Returns the nodes without a request for {@link #SILENT_MS}. */
    public List<NodeReport> silent() {
        return nodes().stream().filter(node -> node.ageMs() > SILENT_MS).toList();
    }

    /** Whether at least one node is not silent, and all that are not have that version or a later one in force. */
    public boolean inForce(ConfigurationVersion version) {
        List<NodeReport> recent = nodes().stream().filter(node -> node.ageMs() <= SILENT_MS).toList();
        return !recent.isEmpty() && recent.stream().noneMatch(node -> version.isAfter(node.inForce()));
    }

    /** Returns the nodes that refused that version or a later one, and have an earlier one in force. */
    public List<NodeReport> refused(ConfigurationVersion version) {
        return nodes().stream().filter(node -> version.isAfter(node.inForce()) && !version.isAfter(node.refused())).toList();
    }

    /** Whether the version that the node refused last is newer than the one in force. */
    public static boolean refuses(NodeReport node) {
        return node.refused().isAfter(node.inForce());
    }
}
