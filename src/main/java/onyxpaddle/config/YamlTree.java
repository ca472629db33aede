package onyxpaddle.config;

import java.util.ArrayList;
import java.util.Collections;
import java.util.IdentityHashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import onyxpaddle.config.Value.Mapping;
import onyxpaddle.config.Value.Scalar;
import onyxpaddle.config.Value.Sequence;
import org.snakeyaml.engine.v2.api.LoadSettings;
import org.snakeyaml.engine.v2.api.lowlevel.Compose;
import org.snakeyaml.engine.v2.common.ScalarStyle;
import org.snakeyaml.engine.v2.exceptions.Mark;
import org.snakeyaml.engine.v2.exceptions.MarkedYamlEngineException;
import org.snakeyaml.engine.v2.exceptions.YamlEngineException;
import org.snakeyaml.engine.v2.nodes.MappingNode;
import org.snakeyaml.engine.v2.nodes.Node;
import org.snakeyaml.engine.v2.nodes.NodeTuple;
import org.snakeyaml.engine.v2.nodes.ScalarNode;
import org.snakeyaml.engine.v2.nodes.SequenceNode;

/**
 * Parses YAML 1.2, and so JSON, into a tree of values with their places. Accepts the subset that settings need: one
 * document with mappings with scalar keys, sequences and scalars. Anchors and aliases are faults: with them, the value at one place comes
 * from another, and a small file can expand to a huge one.
 */
final class YamlTree {
    private static final int MAX_DEPTH = 20;

    private final String file;
    private final Faults faults;
    private final Set<Node> seen = Collections.newSetFromMap(new IdentityHashMap<>());

    private YamlTree(String file, Faults faults) {
        this.file = file;
        this.faults = faults;
    }

    /** Returns the tree of a text, or null if there is a syntax error. */
    static Value parse(String file, String text, Faults faults) {
        LoadSettings settings = LoadSettings.builder().setLabel(file).setUseMarks(true)
            .setMaxAliasesForCollections(0).setCodePointLimit(Integer.MAX_VALUE).build();
        YamlTree tree = new YamlTree(file, faults);
        try {
            Optional<Node> root = new Compose(settings).composeString(text);
            if (root.isEmpty()) {
                faults.add(Place.of(file), "", "the file is empty", "see `lupinmount sidecar schema` for its keys");
                return null;
            }
            return tree.value(root.get(), "", 0);
        } catch (MarkedYamlEngineException e) {
            Place place = e.getProblemMark().map(tree::place).orElse(Place.of(file));
            faults.add(place, "", "not YAML: " + oneLine(e.getProblem()),
                "one document of `key: value` lines, indented by spaces");
        } catch (YamlEngineException | StackOverflowError e) {
            faults.add(Place.of(file), "", "not YAML: " + oneLine(e.getMessage()),
                "one document of `key: value` lines, indented by spaces");
        }
        return null;
    }

    private static String oneLine(String text) {
        String line = String.valueOf(text).lines().findFirst().orElse("").replaceAll("\\p{Cntrl}", "?");
        return line.length() > 160 ? line.substring(0, 160) + "…" : line;
    }

    private Place place(Mark mark) {
        return new Place(file, mark.getLine() + 1, mark.getColumn() + 1);
    }

    private Place place(Node node) {
        return node.getStartMark().map(this::place).orElse(Place.of(file));
    }

    private Value value(Node node, String path, int depth) {
        Place place = place(node);
        if (!seen.add(node) || node.getAnchor().isPresent()) {
            faults.add(place, path, "anchors and aliases are not supported", "write the value out at each place");
            return null;
        }
        if (depth > MAX_DEPTH) {
            faults.add(place, path, "nested more than " + MAX_DEPTH + " deep", "no setting is nested that deep");
            return null;
        }
        if (node instanceof ScalarNode scalar) {
            return new Scalar(place, path, scalar.getValue(), scalar.getScalarStyle() != ScalarStyle.PLAIN);
        }
        if (node instanceof SequenceNode sequence) {
            List<Value> items = new ArrayList<>();
            for (Node item : sequence.getValue()) {
                Value value = value(item, path + "[" + items.size() + "]", depth + 1);
                if (value != null) {
                    items.add(value);
                }
            }
            return new Sequence(place, path, items);
        }
        return node instanceof MappingNode mapping ? mapping(mapping, place, path, depth) : null;
    }

    private Mapping mapping(MappingNode mapping, Place place, String path, int depth) {
        Map<String, Value> values = new LinkedHashMap<>();
        Map<String, Place> keys = new LinkedHashMap<>();
        for (NodeTuple tuple : mapping.getValue()) {
            Place at = place(tuple.getKeyNode());
            if (!(tuple.getKeyNode() instanceof ScalarNode key)) {
                faults.add(at, path, "a key that is not a scalar", "`key: value`");
                continue;
            }
            String name = key.getValue();
            String below = path.isEmpty() ? name : path + "." + name;
            Place first = keys.putIfAbsent(name, at);
            if (first != null) {
                faults.add(at, below, "is already defined at line " + first.line(), "keep one of the two");
                continue;
            }
            Value value = value(tuple.getValueNode(), below, depth + 1);
            if (value != null) {
                values.put(name, value);
            }
        }
        return new Mapping(place, path, values, keys);
    }
}
