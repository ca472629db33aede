package onyxpaddle.control;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.StringWriter;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.List;

/** The body of a change of the configuration, and the values that these tests use. */
final class Changes {
    /** Whom the fleets' nodes serve. */
    static final String SERVICE = "booking";
    /** The key that tells which version is in force: see {@link #routesTo}. */
    static final String ROUTES = "service/" + SERVICE + "/routes";

    /** A new value of one key; null takes it away. */
    private record Change(String key, String value) {
    }

    private final String base;
    private final List<Change> changes = new ArrayList<>();

    private Changes(String base) {
        this.base = base;
    }

    static Changes of(String key, String value) {
        return new Changes(null).and(key, value);
    }

    /** Refused where one of the keys has changed since that version. */
    static Changes since(String base, String key, String value) {
        return new Changes(base).and(key, value);
    }

    Changes and(String key, String value) {
        changes.add(new Change(key, value));
        return this;
    }

    /** Routes with which a node's probe is answered with this path. */
    static String routesTo(String path) {
        return "- {name: probe, listener: in, path: /probe, pool: backend, class: probe, rewrite: " + path + "}\n";
    }

    String json() {
        StringWriter text = new StringWriter();
        try (JsonGenerator json = new JsonFactory().createGenerator(text)) {
            json.writeStartObject();
            if (base != null) {
                json.writeStringField("base", base);
            }
            json.writeArrayFieldStart("changes");
            for (Change change : changes) {
                json.writeStartObject();
                json.writeStringField("key", change.key());
                json.writeStringField("value", change.value());
                json.writeEndObject();
            }
            json.writeEndArray();
            json.writeEndObject();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return text.toString();
    }
}
