package onyxpaddle.config;

import java.util.List;
import java.util.Map;

/** A parsed value with its place in the file and the path of keys to it. */
public sealed interface Value {
    Place place();

    String path();

    /** The text of a scalar; quoted text is never taken as {@linkplain #blank() blank}. */
    record Scalar(Place place, String path, String text, boolean quoted) implements Value {
        /** Whether the key has no value, such as {@code limits:} with nothing below. */
        public boolean blank() {
            return !quoted && (text.isEmpty() || text.equals("~") || text.equals("null"));
        }
    }

    record Sequence(Place place, String path, List<Value> items) implements Value {
        public Sequence {
            items = List.copyOf(items);
        }
    }

    /** {@code keys}: the place of each key; both maps are in file order. */
    record Mapping(Place place, String path, Map<String, Value> values, Map<String, Place> keys) implements Value {
    }

    /** Describes the value for messages. */
    default String kind() {
        if (this instanceof Scalar s) {
            return s.blank() ? "nothing" : "`" + abbreviate(s.text()) + "`";
        }
        return this instanceof Sequence ? "a list" : "a section";
    }

    private static String abbreviate(String text) {
        String printable = text.replaceAll("\\p{Cntrl}", "?");
        return printable.length() > 40 ? printable.substring(0, 40) + "…" : printable;
    }
}
