package onyxpaddle.config;

import java.util.List;
import java.util.Map;

/** A value of a file, with its place and the path that leads to it. */
public sealed interface Value {
    Place place();

    String path();

    /** Text as it stands in the file; {@code quoted} text is never a number, a span or a word of the format. */
    record Scalar(Place place, String path, String text, boolean quoted) implements Value {
        /** Whether it is there but says nothing, such as {@code limits:} with nothing below. */
        public boolean blank() {
            return !quoted && (text.isEmpty() || text.equals("~") || text.equals("null"));
        }
    }

    record Sequence(Place place, String path, List<Value> items) implements Value {
        public Sequence {
            items = List.copyOf(items);
        }
    }

    /** {@code keys}: where each key stands; both maps are in the order of the file. */
    record Mapping(Place place, String path, Map<String, Value> values, Map<String, Place> keys) implements Value {
    }

    /** What a person would call this kind of value. */
    default String kind() {
        if (this instanceof Scalar s) {
            return s.blank() ? "nothing" : "`" + shortened(s.text()) + "`";
        }
        return this instanceof Sequence ? "a list" : "a section";
    }

    private static String shortened(String text) {
        String clean = text.replaceAll("\\p{Cntrl}", "?");
        return clean.length() > 40 ? clean.substring(0, 40) + "…" : clean;
    }
}
