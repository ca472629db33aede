package onyxpaddle.control;

import java.util.List;
import java.util.Map;
import onyxpaddle.distribution.ConfigurationVersion;
import org.snakeyaml.engine.v2.api.Load;
import org.snakeyaml.engine.v2.api.LoadSettings;

/** What a control process says of itself and of those that call it. */
record ControlStatus(String role, ConfigurationVersion version, long staleMs, List<NodeLine> nodes) {
    /** A node, as it said last. */
    record NodeLine(String name, String held, String inForce, String refused, String fault) {
    }

    static ControlStatus of(String json) {
        Map<?, ?> root = read(json);
        List<NodeLine> nodes = ((List<?>) root.get("nodes")).stream().map(line -> node((Map<?, ?>) line)).toList();
        return new ControlStatus(text(root, "role"), ConfigurationVersion.parse(text(root, "version")),
            Long.parseLong(text(root, "stale_ms")), nodes);
    }

    private static NodeLine node(Map<?, ?> line) {
        return new NodeLine(text(line, "name"), text(line, "held"), text(line, "in_force"), text(line, "refused"), text(line, "fault"));
    }

    /** The version that an answer to a change names. */
    static ConfigurationVersion versionOf(String json) {
        return ConfigurationVersion.parse(text(read(json), "version"));
    }

    /** JSON is YAML too. */
    private static Map<?, ?> read(String json) {
        return (Map<?, ?>) new Load(LoadSettings.builder().build()).loadFromString(json);
    }

    private static String text(Map<?, ?> map, String key) {
        return String.valueOf(map.get(key));
    }

    /** What is said of a node, or null. */
    NodeLine node(String name) {
        return nodes.stream().filter(line -> line.name().equals(name)).findFirst().orElse(null);
    }
}
