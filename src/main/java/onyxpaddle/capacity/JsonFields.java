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

/** Reads the fields of a JSON object. A field that is missing or of the wrong type is reported as a fault and read as a default value. */
final class JsonFields {
    private static final Mapping EMPTY = new Mapping(Place.of(""), "", Map.of(), Map.of());

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
        faults.add(value.place(), value.path(), "is not an object", "`{...}`");
        return new JsonFields(EMPTY, faults);
    }

    boolean has(String name) {
        return object.values().containsKey(name);
    }

    void fault(String name, String problem, String expected) {
        Value value = object.values().get(name);
        String path = object.path().isEmpty() ? name : object.path() + "." + name;
        faults.add(value == null ? object.place() : value.place(), path, problem, expected);
    }

    /** A string; empty if it is invalid. */
    String text(String name) {
        if (object.values().get(name) instanceof Scalar scalar && scalar.quoted()) {
            return scalar.text();
        }
        fault(name, has(name) ? "is not a string" : "is missing", "a string in quotes");
        return "";
    }

    /** One of the given words; empty if it is invalid. */
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

    /** A number; NaN if it is {@code null} (measured without a usable result) or invalid. */
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
                // reported below
            }
        }
        faults.add(value.place(), value.path(), "is not a number", "a number, or null if there is none");
        return Double.NaN;
    }

    /** A nested object; empty if it is invalid. */
    JsonFields object(String name) {
        if (has(name)) {
            return of(object.values().get(name), faults);
        }
        fault(name, "is missing", "`{...}`");
        return new JsonFields(EMPTY, faults);
    }

    /** The objects of a nested array; empty if it is invalid. */
    List<JsonFields> objects(String name) {
        if (object.values().get(name) instanceof Sequence sequence) {
            return sequence.items().stream().map(item -> of(item, faults)).toList();
        }
        fault(name, has(name) ? "is not an array" : "is missing", "`[...]`");
        return List.of();
    }

    /** All fields as numbers, by name; null and invalid ones are omitted. */
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
