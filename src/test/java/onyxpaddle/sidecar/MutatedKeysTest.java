package onyxpaddle.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;
import onyxpaddle.config.Fault;
import onyxpaddle.config.Faults;
import onyxpaddle.config.NodeSchema;
import onyxpaddle.config.Schema;
import onyxpaddle.config.Schema.Key;
import onyxpaddle.config.Schema.ListOf;
import onyxpaddle.config.Schema.MapOf;
import onyxpaddle.config.Schema.Section;
import onyxpaddle.config.Schema.ScalarOrSection;
import onyxpaddle.config.SourceFile;
import onyxpaddle.config.Value;
import onyxpaddle.config.Value.Mapping;
import onyxpaddle.config.Value.Scalar;
import onyxpaddle.config.Value.Sequence;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Mutates every key of every example, one at a time: misspelt, duplicated, given another type, or removed. Each mutation must be
 * reported at its line; a removal need only be reported if the key is required.
 */
class MutatedKeysTest {
    private enum Mutation { NONE, MISSPELT, DUPLICATED, OTHER_TYPE, REMOVED }

    /** An example and its shape. */
    record Example(String name, String text, Section shape) {
        @Override
        public String toString() {
            return name;
        }
    }

    @TempDir
    Path folder;

    static Stream<Example> examples() throws IOException {
        List<Example> all = new ArrayList<>();
        String base = EditCase.resource("description.yaml");
        EditCase.all("good-descriptions.txt").forEach(c -> all.add(new Example(c.name(), c.apply(base), DescriptionShape.ALL)));
        all.add(new Example("booking", Files.readString(Path.of("deploy/examples/booking.yaml")), DescriptionShape.ALL));
        all.add(new Example("records", Files.readString(Path.of("deploy/examples/records.yaml")), DescriptionShape.ALL));
        all.add(new Example("announced", Files.readString(Path.of("deploy/bgp/booking.node.yaml")), NodeSchema.NODE));
        all.add(new Example("configuration of procedures", EditCase.resource("procedures.yaml"), NodeSchema.NODE));
        all.add(new Example("configuration", EditCase.resource("configuration.yaml"), NodeSchema.NODE));
        return all.stream();
    }

    /** Writes a tree with each key on a line of its own and one key mutated. */
    private static final class Writer {
        private final StringBuilder out = new StringBuilder();
        private final String path;
        private final Mutation mutation;
        private int line = 1;
        private int mutatedLine;

        Writer(String path, Mutation mutation) {
            this.path = path;
            this.mutation = mutation;
        }

        private void value(Value value) {
            if (value instanceof Scalar scalar) {
                out.append(scalar.quoted() ? "\"" + scalar.text() + "\"" : scalar.text());
            } else if (value instanceof Sequence sequence) {
                out.append('[');
                sequence.items().forEach(item -> {
                    value(item);
                    out.append(", ");
                });
                out.append(']');
            } else if (value instanceof Mapping mapping) {
                out.append('{');
                mapping.values().forEach((name, below) -> key(mapping, name, below));
                out.append('}');
            }
        }

        private void key(Mapping mapping, String name, Value value) {
            boolean mutated = (mapping.path().isEmpty() ? name : mapping.path() + "." + name).equals(path);
            if (mutated && mutation == Mutation.REMOVED) {
                return;
            }
            out.append('\n');
            line++;
            mutatedLine = mutated ? line : mutatedLine;
            out.append('"').append(mutated && mutation == Mutation.MISSPELT ? name + "qx" : name).append("\": ");
            if (mutated && mutation == Mutation.OTHER_TYPE) {
                out.append(value instanceof Scalar ? "{other: type}" : "type");
            } else {
                value(value);
            }
            out.append(',');
            if (mutated && mutation == Mutation.DUPLICATED) {
                out.append('\n');
                line++;
                mutatedLine = line;
                out.append('"').append(name).append("\": ");
                value(value);
                out.append(',');
            }
        }
    }

    /** Collects the keys of a tree with their shapes; names chosen by the user are left out. */
    private static void keys(Value value, Schema shape, Map<String, Key> into) {
        if (shape instanceof ScalarOrSection either) {
            keys(value, value instanceof Mapping ? either.section() : either.scalar(), into);
        } else if (value instanceof Sequence sequence && shape instanceof ListOf list) {
            sequence.items().forEach(item -> keys(item, list.item(), into));
        } else if (value instanceof Mapping mapping && shape instanceof MapOf map) {
            mapping.values().values().forEach(below -> keys(below, map.item(), into));
        } else if (value instanceof Mapping mapping && shape instanceof Section section) {
            mapping.values().forEach((name, below) -> {
                Key key = section.keys().stream().filter(k -> k.name().equals(name)).findFirst().orElseThrow();
                into.put(below.path(), key);
                keys(below, key.schema(), into);
            });
        }
    }

    private List<Fault> faults(String text) throws IOException {
        Path file = Files.writeString(folder.resolve("m.yaml"), text);
        return CheckedFiles.of(List.of(file), InvalidFilesTest.MACHINE).faults.list();
    }

    @ParameterizedTest
    @MethodSource("examples")
    void everyMutationIsReported(Example example) throws IOException {
        Value tree = SourceFile.parse(example.name(), example.text(), new Faults());
        Map<String, Key> keys = new java.util.LinkedHashMap<>();
        keys(tree, example.shape(), keys);
        assertTrue(keys.size() >= 15, "too few keys for a meaningful test: " + keys.size());
        Writer unchanged = new Writer("", Mutation.NONE);
        unchanged.value(tree);
        assertEquals(List.of(), faults(unchanged.out + "\n"));
        for (Map.Entry<String, Key> key : keys.entrySet()) {
            for (Mutation mutation : List.of(Mutation.MISSPELT, Mutation.DUPLICATED, Mutation.OTHER_TYPE, Mutation.REMOVED)) {
                Writer writer = new Writer(key.getKey(), mutation);
                writer.value(tree);
                List<Fault> faults = faults(writer.out + "\n");
                String what = example.name() + ", " + key.getKey() + " " + mutation + ": " + faults;
                if (mutation == Mutation.REMOVED) {
                    assertTrue(!faults.isEmpty() || !key.getValue().required(), what);
                } else {
                    assertTrue(faults.stream().anyMatch(f -> f.place().line() == writer.mutatedLine), what);
                }
            }
        }
    }
}
