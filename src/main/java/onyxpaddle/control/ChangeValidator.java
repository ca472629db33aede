package onyxpaddle.control;

import java.util.Collection;
import java.util.stream.Collectors;
import onyxpaddle.config.Faults;
import onyxpaddle.config.NodeSchema;
import onyxpaddle.config.Place;
import onyxpaddle.config.Schema;
import onyxpaddle.config.Schema.Key;
import onyxpaddle.config.Schema.MapOf;
import onyxpaddle.config.SchemaValidator;
import onyxpaddle.config.SourceFile;
import onyxpaddle.config.Value;
import onyxpaddle.config.Value.Scalar;
import onyxpaddle.distribution.ConfigurationTable.Change;
import onyxpaddle.distribution.EntryKey;

/** Validates each change against the schema of its section. Consistency between sections is checked by each node. */
final class ChangeValidator {
    private ChangeValidator() {
    }

    /** Returns the faults found, each as {@code key:line:column: path: fault; expected}. */
    static Faults validate(Collection<Change> changes) {
        Faults faults = new Faults();
        changes.forEach(change -> validate(change, faults));
        return faults;
    }

    private static void validate(Change change, Faults faults) {
        String name = change.key().toString();
        Schema shape = shape(change.key(), faults);
        if (shape == null || change.value() == null) {
            return;
        }
        Value value = SourceFile.parse(name, change.value(), faults);
        // A value of `null` removes the section that the node's file or a wider scope defines.
        if (value != null && !(value instanceof Scalar scalar && scalar.blank())) {
            SchemaValidator.check(value, shape, faults);
        }
    }

    private static Schema shape(EntryKey key, Faults faults) {
        Place place = Place.of(key.toString());
        String top = key.topKey();
        if (EntryKey.NODE_LOCAL_KEYS.contains(top)) {
            faults.add(place, top, "is local to each node and not distributed", "set it in the node's file");
            return null;
        }
        Key found = NodeSchema.NODE.keys().stream().filter(each -> each.name().equals(top)).findFirst().orElse(null);
        if (found == null) {
            faults.add(place, top, "is not a key of a node's configuration", "one of " + distributableKeys());
            return null;
        }
        if (key.sectionName() == null) {
            return found.schema();
        }
        if (found.schema() instanceof MapOf map) {
            return map.item();
        }
        faults.add(place, top, "has no named sections", "`" + top + "` as a whole");
        return null;
    }

    private static String distributableKeys() {
        return NodeSchema.NODE.keys().stream().map(Key::name).filter(name -> !EntryKey.NODE_LOCAL_KEYS.contains(name))
            .collect(Collectors.joining(", "));
    }
}
