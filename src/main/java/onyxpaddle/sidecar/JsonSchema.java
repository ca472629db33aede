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

/** Writes a shape as JSON Schema (draft 2020-12), for editors. It covers syntax only; semantic faults are found by the check. */
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
            new JsonSchema(json).writeFields(shape);
            json.writeEndObject();
        } catch (IOException e) {
            throw new java.io.UncheckedIOException(e);
        }
        return text + "\n";
    }

    private void writeObject(Schema shape, Key key) throws IOException {
        json.writeStartObject();
        if (key != null) {
            json.writeStringField("description", key.description() + (key.defaultText() == null ? "" : " (without it: "
                + key.defaultText() + ")"));
        }
        writeFields(shape);
        json.writeEndObject();
    }

    private void writeFields(Schema shape) throws IOException {
        if (shape instanceof ScalarSchema plain) {
            writePlain(plain);
        } else if (shape instanceof ListOf list) {
            json.writeStringField("type", "array");
            json.writeNumberField("minItems", list.mayBeEmpty() ? 0 : 1);
            json.writeFieldName("items");
            writeObject(list.item(), null);
        } else if (shape instanceof MapOf map) {
            json.writeStringField("type", "object");
            json.writeNumberField("minProperties", map.mayBeEmpty() ? 0 : 1);
            json.writeFieldName("additionalProperties");
            writeObject(map.item(), null);
        } else if (shape instanceof Section section) {
            writeSection(section);
        } else if (shape instanceof ScalarOrSection either) {
            json.writeArrayFieldStart("anyOf");
            writeObject(either.scalar(), null);
            writeObject(either.section(), null);
            json.writeEndArray();
        }
    }

    private void writeSection(Section section) throws IOException {
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
            writeObject(key.schema(), key);
        }
        json.writeEndObject();
    }

    private void writePlain(ScalarSchema plain) throws IOException {
        switch (plain.kind()) {
            case PORT, COUNT -> {
                json.writeStringField("type", "integer");
                writeBounds(plain.kind() == Schema.Kind.PORT ? Schema.bounded(plain.kind(), 1, 65535) : plain);
            }
            case NUMBER -> {
                json.writeStringField("type", "number");
                writeBounds(plain);
            }
            case FLAG -> json.writeStringField("type", "boolean");
            case WORD -> {
                json.writeArrayFieldStart("enum");
                for (String word : plain.words()) {
                    json.writeString(word);
                }
                json.writeEndArray();
            }
            case SPAN -> writePattern("^[0-9]+(\\.[0-9]+)? ?(us|ms|s|min|h)$");
            case SIZE -> writePattern("^[0-9]+(\\.[0-9]+)? ?(B|KiB|MiB|GiB)$");
            case PATH -> writePattern("^/");
            case NAME, LABEL -> writePattern("^[a-z0-9]([a-z0-9-]*[a-z0-9])?$");
            default -> json.writeStringField("type", "string");
        }
    }

    private void writeBounds(ScalarSchema plain) throws IOException {
        if (plain.min() > -Double.MAX_VALUE) {
            json.writeNumberField("minimum", plain.min());
            json.writeNumberField("maximum", plain.max());
        }
    }

    private void writePattern(String pattern) throws IOException {
        json.writeStringField("type", "string");
        json.writeStringField("pattern", pattern);
    }
}
