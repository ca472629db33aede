package onyxpaddle.control;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.StringWriter;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.List;

/** Builds the body of a request for changes; also holds the keys and values that these tests use. */
final class ChangeBody {
    /** The service of the nodes. */
    static final String SERVICE = "booking";
    /** The key whose value in force the tests observe, see {@link #routesTo}. */
    static final String ROUTES = "service/" + SERVICE + "/routes";

    /** A new value of one key; null removes the entry. */
    private record Change(String key, String value) {
    }

    private final String base;
    private final List<Change> changes = new ArrayList<>();

    private ChangeBody(String base) {
        this.base = base;
    }

    static ChangeBody of(String key, String value) {
        return new ChangeBody(null).and(key, value);
    }

    /** Changes that are refused if one of their keys has changed after the base version. */
    static ChangeBody since(String base, String key, String value) {
        return new ChangeBody(base).and(key, value);
    }

    ChangeBody and(String key, String value) {
        changes.add(new Change(key, value));
        return this;
    }

    /** Returns routes under which a node's probe is answered with this path. */
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
