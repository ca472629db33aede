package onyxpaddle.control;

import java.util.Collection;
import java.util.stream.Collectors;
import onyxpaddle.config.Faults;
import onyxpaddle.config.NodeShape;
import onyxpaddle.config.Place;
import onyxpaddle.config.Shape;
import onyxpaddle.config.Shape.Key;
import onyxpaddle.config.Shape.MapOf;
import onyxpaddle.config.ShapeCheck;
import onyxpaddle.config.SourceFile;
import onyxpaddle.config.Value;
import onyxpaddle.config.Value.Scalar;
import onyxpaddle.distribution.ConfigurationTable.Change;
import onyxpaddle.distribution.EntryKey;

/** Holds each change against the shape of its section. Whether sections fit together is checked by each node. */
final class ChangeCheck {
    private ChangeCheck() {
    }

    /** What is wrong, each as {@code key:line:column: path: what is wrong; what would be right}. */
    static Faults check(Collection<Change> changes) {
        Faults faults = new Faults();
        changes.forEach(change -> check(change, faults));
        return faults;
    }

    private static void check(Change change, Faults faults) {
        String name = change.key().toString();
        Shape shape = shape(change.key(), faults);
        if (shape == null || change.value() == null) {
            return;
        }
        Value value = SourceFile.parse(name, change.value(), faults);
        // The text `null` takes away what the node's file or a wider scope has.
        if (value != null && !(value instanceof Scalar scalar && scalar.blank())) {
            ShapeCheck.check(value, shape, faults);
        }
    }

    private static Shape shape(EntryKey key, Faults faults) {
        Place place = Place.of(key.toString());
        String top = key.topKey();
        if (EntryKey.NODE_LOCAL_KEYS.contains(top)) {
            faults.add(place, top, "is each node's own and not distributed", "say it in the node's file");
            return null;
        }
        Key found = NodeShape.NODE.keys().stream().filter(each -> each.name().equals(top)).findFirst().orElse(null);
        if (found == null) {
            faults.add(place, top, "is no key of a node's configuration", "one of " + distributable());
            return null;
        }
        if (key.sectionName() == null) {
            return found.shape();
        }
        if (found.shape() instanceof MapOf map) {
            return map.item();
        }
        faults.add(place, top, "has no named sections", "`" + top + "` as a whole");
        return null;
    }

    private static String distributable() {
        return NodeShape.NODE.keys().stream().map(Key::name).filter(name -> !EntryKey.NODE_LOCAL_KEYS.contains(name))
            .collect(Collectors.joining(", "));
    }
}
