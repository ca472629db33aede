package onyxpaddle.config;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import onyxpaddle.config.Value.Mapping;
import onyxpaddle.config.Value.Scalar;
import onyxpaddle.config.Value.Sequence;

/**
 * Reads the keys of a section. It never fails: what is absent or does not fit gives the default, as {@link SchemaValidator}
 * has told what does not fit, and the checks that follow should still see all the rest.
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

    /** Where a key's value stands; the section itself where it has none. */
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

    private String sound(Value value, Schema.ScalarSchema plain) {
        return value instanceof Scalar scalar && SchemaValidator.wrong(scalar.text(), plain) == null ? scalar.text() : null;
    }

    /** The text of this value itself, where it is plain and of that kind; null otherwise. */
    public String self(Schema.Kind kind) {
        return sound(at, Schema.plain(kind));
    }

    public String text(String key, Schema.Kind kind, String usual) {
        String text = sound(value(key), Schema.plain(kind));
        return text == null ? usual : text;
    }

    public String word(String key, String usual, String... words) {
        String text = sound(value(key), Schema.word(words));
        return text == null ? usual : text;
    }

    public long span(String key, long usual) {
        String text = text(key, Schema.Kind.SPAN, null);
        return text == null ? usual : Units.parseSpan(text);
    }

    public long size(String key, long usual) {
        String text = text(key, Schema.Kind.SIZE, null);
        return text == null ? usual : Units.parseSize(text);
    }

    public int count(String key, int usual) {
        String text = text(key, Schema.Kind.COUNT, null);
        return text == null ? usual : (int) Math.max(Integer.MIN_VALUE, Math.min(Integer.MAX_VALUE, Long.parseLong(text)));
    }

    public int port(String key) {
        String text = text(key, Schema.Kind.PORT, null);
        return text == null ? 0 : Integer.parseInt(text);
    }

    public double number(String key, double usual) {
        String text = text(key, Schema.Kind.NUMBER, null);
        return text == null ? usual : Double.parseDouble(text);
    }

    public boolean flag(String key, boolean usual) {
        String text = text(key, Schema.Kind.FLAG, null);
        return text == null ? usual : text.equals("true");
    }

    public HostPort address(String key) {
        String text = text(key, Schema.Kind.ADDRESS, null);
        return text == null ? null : HostPort.parse(text);
    }

    /** A section; an empty one where there is none. */
    public ConfigView section(String key) {
        Value value = value(key);
        return new ConfigView(value instanceof Mapping ? value
            : new Mapping(place(key), path(key), Map.of(), Map.of()));
    }

    /** The items of a list; none where there is no list. */
    public List<ConfigView> items(String key) {
        List<ConfigView> items = new ArrayList<>();
        if (value(key) instanceof Sequence sequence) {
            sequence.items().forEach(item -> items.add(new ConfigView(item)));
        }
        return items;
    }

    /** The plain items of a list that are of this kind. */
    public List<String> texts(String key, Schema.Kind kind) {
        return items(key).stream().map(item -> item.self(kind)).filter(java.util.Objects::nonNull).toList();
    }

    /** The sections under chosen names, in the order of the file. */
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

    /** Where a name below a key stands. */
    public Place namePlace(String key, String name) {
        return value(key) instanceof Mapping mapping && mapping.keys().containsKey(name) ? mapping.keys().get(name)
            : place(key);
    }

    /** Whether this value is a section rather than plain text. */
    public boolean isSection() {
        return at instanceof Mapping;
    }
}
