package onyxpaddle.sidecar;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.StringWriter;
import onyxpaddle.config.Schema;
import onyxpaddle.config.Schema.Key;
import onyxpaddle.config.Schema.ListOf;
import onyxpaddle.config.Schema.MapOf;
import onyxpaddle.config.Schema.ScalarSchema;
import onyxpaddle.config.Schema.Section;
import onyxpaddle.config.Schema.ScalarOrSection;

/** A shape as JSON Schema (draft 2020-12), for editors. It tells forms; what makes no sense only the check finds. */
final class JsonSchema {
    private final JsonGenerator json;

    private JsonSchema(JsonGenerator json) {
        this.json = json;
    }

    static String of(String title, Section shape) {
        StringWriter text = new StringWriter();
        try (JsonGenerator json = new JsonFactory().createGenerator(text).useDefaultPrettyPrinter()) {
            json.writeStartObject();
            json.writeStringField("$schema", "https://json-schema.org/draft/2020-12/schema");
            json.writeStringField("title", title);
            new JsonSchema(json).fields(shape);
            json.writeEndObject();
        } catch (IOException e) {
            throw new java.io.UncheckedIOException(e);
        }
        return text + "\n";
    }

    private void object(Schema shape, Key key) throws IOException {
        json.writeStartObject();
        if (key != null) {
            json.writeStringField("description", key.description() + (key.defaultText() == null ? "" : " (without it: "
                + key.defaultText() + ")"));
        }
        fields(shape);
        json.writeEndObject();
    }

    private void fields(Schema shape) throws IOException {
        if (shape instanceof ScalarSchema plain) {
            plain(plain);
        } else if (shape instanceof ListOf list) {
            json.writeStringField("type", "array");
            json.writeNumberField("minItems", list.mayBeEmpty() ? 0 : 1);
            json.writeFieldName("items");
            object(list.item(), null);
        } else if (shape instanceof MapOf map) {
            json.writeStringField("type", "object");
            json.writeNumberField("minProperties", map.mayBeEmpty() ? 0 : 1);
            json.writeFieldName("additionalProperties");
            object(map.item(), null);
        } else if (shape instanceof Section section) {
            section(section);
        } else if (shape instanceof ScalarOrSection either) {
            json.writeArrayFieldStart("anyOf");
            object(either.scalar(), null);
            object(either.section(), null);
            json.writeEndArray();
        }
    }

    private void section(Section section) throws IOException {
        json.writeStringField("type", "object");
        json.writeBooleanField("additionalProperties", false);
        json.writeArrayFieldStart("required");
        for (Key key : section.keys()) {
            if (key.required()) {
                json.writeString(key.name());
            }
        }
        json.writeEndArray();
        json.writeObjectFieldStart("properties");
        for (Key key : section.keys()) {
            json.writeFieldName(key.name());
            object(key.schema(), key);
        }
        json.writeEndObject();
    }

    private void plain(ScalarSchema plain) throws IOException {
        switch (plain.kind()) {
            case PORT, COUNT -> {
                json.writeStringField("type", "integer");
                bounds(plain.kind() == Schema.Kind.PORT ? Schema.bounded(plain.kind(), 1, 65535) : plain);
            }
            case NUMBER -> {
                json.writeStringField("type", "number");
                bounds(plain);
            }
            case FLAG -> json.writeStringField("type", "boolean");
            case WORD -> {
                json.writeArrayFieldStart("enum");
                for (String word : plain.words()) {
                    json.writeString(word);
                }
                json.writeEndArray();
            }
            case SPAN -> pattern("^[0-9]+(\\.[0-9]+)? ?(us|ms|s|min|h)$");
            case SIZE -> pattern("^[0-9]+(\\.[0-9]+)? ?(B|KiB|MiB|GiB)$");
            case PATH -> pattern("^/");
            case NAME, LABEL -> pattern("^[a-z0-9]([a-z0-9-]*[a-z0-9])?$");
            default -> json.writeStringField("type", "string");
        }
    }

    private void bounds(ScalarSchema plain) throws IOException {
        if (plain.min() > -Double.MAX_VALUE) {
            json.writeNumberField("minimum", plain.min());
            json.writeNumberField("maximum", plain.max());
        }
    }

    private void pattern(String pattern) throws IOException {
        json.writeStringField("type", "string");
        json.writeStringField("pattern", pattern);
    }
}
