package onyxpaddle.config;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import onyxpaddle.config.Value.Mapping;
import onyxpaddle.config.Value.Scalar;
import onyxpaddle.config.Value.Sequence;

/**
 * Gives typed access to the keys of a section. It never fails: absent or invalid values give the default. Invalid ones have
 * been reported by {@link SchemaValidator}, and the checks that follow should still see the remaining values.
 */
public final class ConfigView {
    private final Value at;

    public ConfigView(Value at) {
        this.at = at;
    }

    public Place place() {
        return at.place();
    }

    public String path() {
        return at.path();
    }

    /** The place of a key's value, or of the section if the key has none. */
    public Place place(String key) {
        Value value = value(key);
        return value != null ? value.place() : at.place();
    }

    public String path(String key) {
        return SchemaValidator.join(at.path(), key);
    }

    public boolean has(String key) {
        return at instanceof Mapping mapping && mapping.keys().containsKey(key);
    }

    private Value value(String key) {
        return at instanceof Mapping mapping ? mapping.values().get(key) : null;
    }

    private String validText(Value value, Schema.ScalarSchema schema) {
        return value instanceof Scalar scalar && SchemaValidator.wrong(scalar.text(), schema) == null ? scalar.text() : null;
    }

    /** The text of this value itself if it is a valid scalar of that kind; null otherwise. */
    public String self(Schema.Kind kind) {
        return validText(at, Schema.plain(kind));
    }

    public String text(String key, Schema.Kind kind, String defaultValue) {
        String text = validText(value(key), Schema.plain(kind));
        return text == null ? defaultValue : text;
    }

    public String word(String key, String defaultValue, String... words) {
        String text = validText(value(key), Schema.word(words));
        return text == null ? defaultValue : text;
    }

    public long span(String key, long defaultValue) {
        String text = text(key, Schema.Kind.SPAN, null);
        return text == null ? defaultValue : Units.parseSpan(text);
    }

    public long size(String key, long defaultValue) {
        String text = text(key, Schema.Kind.SIZE, null);
        return text == null ? defaultValue : Units.parseSize(text);
    }

    public int count(String key, int defaultValue) {
        String text = text(key, Schema.Kind.COUNT, null);
        return text == null ? defaultValue : (int) Math.max(Integer.MIN_VALUE, Math.min(Integer.MAX_VALUE, Long.parseLong(text)));
    }

    public int port(String key) {
        String text = text(key, Schema.Kind.PORT, null);
        return text == null ? 0 : Integer.parseInt(text);
    }

    public double number(String key, double defaultValue) {
        String text = text(key, Schema.Kind.NUMBER, null);
        return text == null ? defaultValue : Double.parseDouble(text);
    }

    public boolean flag(String key, boolean defaultValue) {
        String text = text(key, Schema.Kind.FLAG, null);
        return text == null ? defaultValue : text.equals("true");
    }

    public HostPort address(String key) {
        String text = text(key, Schema.Kind.ADDRESS, null);
        return text == null ? null : HostPort.parse(text);
    }

    /** Returns a section, or an empty one if the key is absent. */
    public ConfigView section(String key) {
        Value value = value(key);
        return new ConfigView(value instanceof Mapping ? value
            : new Mapping(place(key), path(key), Map.of(), Map.of()));
    }

    /** Returns the items of a list, or none if the key is absent. */
    public List<ConfigView> items(String key) {
        List<ConfigView> items = new ArrayList<>();
        if (value(key) instanceof Sequence sequence) {
            sequence.items().forEach(item -> items.add(new ConfigView(item)));
        }
        return items;
    }

    /** Returns the items of a list that are valid scalars of this kind. */
    public List<String> texts(String key, Schema.Kind kind) {
        return items(key).stream().map(item -> item.self(kind)).filter(java.util.Objects::nonNull).toList();
    }

    /** Returns the values of a map by name, in file order. */
    public Map<String, ConfigView> named(String key) {
        Map<String, ConfigView> named = new LinkedHashMap<>();
        if (value(key) instanceof Mapping mapping) {
            mapping.keys().keySet().forEach(name -> {
                Value value = mapping.values().get(name);
                if (value != null) {
                    named.put(name, new ConfigView(value));
                }
            });
        }
        return named;
    }

    /** Returns the place of a name in a map. */
    public Place namePlace(String key, String name) {
        return value(key) instanceof Mapping mapping && mapping.keys().containsKey(name) ? mapping.keys().get(name)
            : place(key);
    }

    /** Whether this value is a section rather than a scalar. */
    public boolean isSection() {
        return at instanceof Mapping;
    }
}
