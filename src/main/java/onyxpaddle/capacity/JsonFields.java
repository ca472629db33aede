package onyxpaddle.capacity;

import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import onyxpaddle.config.Faults;
import onyxpaddle.config.Place;
import onyxpaddle.config.Value;
import onyxpaddle.config.Value.Mapping;
import onyxpaddle.config.Value.Scalar;
import onyxpaddle.config.Value.Sequence;

/** Reads the fields of one JSON object. What is missing or of another kind is a fault, and reading goes on with a default. */
final class JsonFields {
    private static final Mapping NOTHING = new Mapping(Place.of(""), "", Map.of(), Map.of());

    private final Mapping object;
    private final Faults faults;

    private JsonFields(Mapping object, Faults faults) {
        this.object = object;
        this.faults = faults;
    }

    static JsonFields of(Value value, Faults faults) {
        if (value instanceof Mapping mapping) {
            return new JsonFields(mapping, faults);
        }
        faults.add(value.place(), value.path(), "is no object", "`{...}`");
        return new JsonFields(NOTHING, faults);
    }

    boolean has(String name) {
        return object.values().containsKey(name);
    }

    void fault(String name, String wrong, String right) {
        Value value = object.values().get(name);
        String path = object.path().isEmpty() ? name : object.path() + "." + name;
        faults.add(value == null ? object.place() : value.place(), path, wrong, right);
    }

    /** A text; empty where it is at fault. */
    String text(String name) {
        if (object.values().get(name) instanceof Scalar scalar && scalar.quoted()) {
            return scalar.text();
        }
        fault(name, has(name) ? "is no text" : "is missing", "a text in quotes");
        return "";
    }

    /** One of some words; empty where it is at fault. */
    String word(String name, Set<String> words) {
        String text = text(name);
        if (!text.isEmpty() && !words.contains(text)) {
            fault(name, "is `" + text + "`", "one of " + String.join(", ", words));
            return "";
        }
        return text;
    }

    boolean flag(String name) {
        if (object.values().get(name) instanceof Scalar scalar && !scalar.quoted() && scalar.text().matches("true|false")) {
            return scalar.text().equals("true");
        }
        fault(name, has(name) ? "is neither true nor false" : "is missing", "`true` or `false`");
        return false;
    }

    /** A number; NaN where it is {@code null} (measured, and no number came of it) or at fault. */
    double number(String name) {
        if (!has(name)) {
            fault(name, "is missing", "a number");
            return Double.NaN;
        }
        return number(object.values().get(name));
    }

    private double number(Value value) {
        if (value instanceof Scalar scalar && !scalar.quoted()) {
            if (scalar.text().equals("null")) {
                return Double.NaN;
            }
            try {
                double number = Double.parseDouble(scalar.text());
                if (Double.isFinite(number)) {
                    return number;
                }
            } catch (NumberFormatException e) {
                // told below
            }
        }
        faults.add(value.place(), value.path(), "is no number", "a number, or null where there is none");
        return Double.NaN;
    }

    /** An object below; an empty one where it is at fault. */
    JsonFields object(String name) {
        if (has(name)) {
            return of(object.values().get(name), faults);
        }
        fault(name, "is missing", "`{...}`");
        return new JsonFields(NOTHING, faults);
    }

    /** The objects of a list below; none where it is at fault. */
    List<JsonFields> objects(String name) {
        if (object.values().get(name) instanceof Sequence sequence) {
            return sequence.items().stream().map(item -> of(item, faults)).toList();
        }
        fault(name, has(name) ? "is no list" : "is missing", "`[...]`");
        return List.of();
    }

    /** All fields as numbers, by name; those that are null are left out. */
    Map<String, Double> numbers() {
        Map<String, Double> numbers = new TreeMap<>();
        object.values().forEach((name, value) -> {
            double number = number(value);
            if (Double.isFinite(number)) {
                numbers.put(name, number);
            }
        });
        return numbers;
    }
}
