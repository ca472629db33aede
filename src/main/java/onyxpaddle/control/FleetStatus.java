package onyxpaddle.control;

import java.util.Collection;
import java.util.List;
import java.util.TreeMap;
import onyxpaddle.distribution.ConfigurationVersion;

/**
 * What several control processes say, put together: of each node the report that was heard last.
 *
 * @param processes those that answered
 * @param failures why the others did not
 */
public record FleetStatus(List<Status> processes, List<String> failures) {
    /** A node calls every few seconds; one not heard of for this long is gone, or cut off. */
    public static final long SILENT_MS = 30_000;

    public FleetStatus {
        processes = List.copyOf(processes);
        failures = List.copyOf(failures);
    }

    /** The newest report of each node, by name. */
    public Collection<NodeReport> nodes() {
        TreeMap<String, NodeReport> newest = new TreeMap<>();
        for (Status process : processes) {
            for (NodeReport node : process.nodes()) {
                newest.merge(node.node(), node, (a, b) -> a.ageMs() <= b.ageMs() ? a : b);
            }
        }
        return newest.values();
    }

    /** Nodes that were not heard of lately. */
    public List<NodeReport> silent() {
        return nodes().stream().filter(node -> node.ageMs() > SILENT_MS).toList();
    }

    /** Whether all nodes heard of lately, at least one, run by that version or a later one. */
    public boolean inForce(ConfigurationVersion version) {
        List<NodeReport> heard = nodes().stream().filter(node -> node.ageMs() <= SILENT_MS).toList();
        return !heard.isEmpty() && heard.stream().noneMatch(node -> version.isAfter(node.inForce()));
    }

    /** Nodes that refused that version, or a later one, and run by an earlier one. */
    public List<NodeReport> refused(ConfigurationVersion version) {
        return nodes().stream().filter(node -> version.isAfter(node.inForce()) && !version.isAfter(node.refused())).toList();
    }

    /** Whether what the node refused last is newer than what it runs by. */
    public static boolean refuses(NodeReport node) {
        return node.refused().isAfter(node.inForce());
    }
}
