package onyxpaddle.control;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.core.StreamReadFeature;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import onyxpaddle.distribution.ConfigurationTable.Change;
import onyxpaddle.distribution.ConfigurationVersion;
import onyxpaddle.distribution.Entry;
import onyxpaddle.distribution.EntryKey;
import onyxpaddle.distribution.JsonFields;
import onyxpaddle.distribution.MalformedUpdateException;

/** {@code {"base":"1.7","changes":[{"key":"fleet/routes","value":"…"}]}}; a null value removes the key. */
public final class ChangeJson {
    /** Maximum size of the changes of one version, in bytes. */
    public static final int MAX_BYTES = 2 << 20;
    private static final int MAX_CHANGES = 10_000;
    private static final int MAX_NESTING_DEPTH = 8;
    private static final JsonFactory JSON = JsonFactory.builder().enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
        .streamReadConstraints(StreamReadConstraints.builder().maxNestingDepth(MAX_NESTING_DEPTH)
            .maxStringLength(Entry.MAX_VALUE_LENGTH).build())
        .build();

    private ChangeJson() {
    }

    public static byte[] write(ChangeRequest request) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (JsonGenerator json = JSON.createGenerator(bytes)) {
            json.writeStartObject();
            if (request.base() != null) {
                json.writeStringField("base", request.base().toString());
            }
            json.writeArrayFieldStart("changes");
            for (Change change : request.changes()) {
                json.writeStartObject();
                json.writeStringField("key", change.key().toString());
                json.writeStringField("value", change.value());
                json.writeEndObject();
            }
            json.writeEndArray();
            json.writeEndObject();
        } catch (IOException e) {
            throw new UncheckedIOException("writing to memory", e);
        }
        return bytes.toByteArray();
    }

    static ChangeRequest read(byte[] bytes) throws BadRequestException {
        try (JsonParser parser = JSON.createParser(bytes)) {
            JsonFields fields = new JsonFields(parser, "changes");
            parser.nextToken();
            ChangeRequest request = request(parser, fields);
            if (parser.nextToken() != null) {
                throw fields.malformed("more than one document");
            }
            return request;
        } catch (MalformedUpdateException e) {
            throw new BadRequestException(e.getMessage());
        } catch (JsonProcessingException e) {
            throw new BadRequestException("changes: " + e.getOriginalMessage().replaceAll("\\p{Cntrl}", " "));
        } catch (IOException e) {
            throw new BadRequestException("changes: " + e.getMessage());
        }
    }

    private static ChangeRequest request(JsonParser parser, JsonFields fields) throws IOException {
        ConfigurationVersion base = null;
        List<Change> changes = List.of();
        fields.expect(JsonToken.START_OBJECT, "an object");
        while (parser.nextToken() != JsonToken.END_OBJECT) {
            String name = parser.currentName();
            parser.nextToken();
            switch (name) {
                case "base" -> base = fields.version();
                case "changes" -> changes = changes(parser, fields);
                default -> throw fields.malformed("unknown key; expected `base` or `changes`");
            }
        }
        if (changes.isEmpty()) {
            throw fields.malformed("`changes` is missing or empty");
        }
        return new ChangeRequest(base, changes);
    }

    private static List<Change> changes(JsonParser parser, JsonFields fields) throws IOException {
        List<Change> changes = new ArrayList<>();
        Set<EntryKey> keys = new HashSet<>();
        fields.expect(JsonToken.START_ARRAY, "a list");
        while (parser.nextToken() != JsonToken.END_ARRAY) {
            Change change = change(parser, fields);
            if (!keys.add(change.key())) {
                throw fields.malformed(change.key() + " appears twice");
            }
            if (changes.size() == MAX_CHANGES) {
                throw fields.malformed("more than " + MAX_CHANGES + " changes");
            }
            changes.add(change);
        }
        return changes;
    }

    private static Change change(JsonParser parser, JsonFields fields) throws IOException {
        EntryKey key = null;
        boolean hasValue = false;
        String value = null;
        fields.expect(JsonToken.START_OBJECT, "an object");
        while (parser.nextToken() != JsonToken.END_OBJECT) {
            String name = parser.currentName();
            parser.nextToken();
            switch (name) {
                case "key" -> key = fields.key();
                case "value" -> {
                    hasValue = true;
                    value = fields.textOrNull();
                }
                default -> throw fields.malformed("unknown key; expected `key` or `value`");
            }
        }
        if (key == null || !hasValue) {
            throw fields.malformed((key == null ? "`key`" : "`value`") + " is missing");
        }
        return new Change(key, value);
    }
}
