package onyxpaddle.distribution;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonLocation;
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

/**
 * JSON encoding of updates. Unknown keys are ignored, so that later versions can add some. The number of bytes and entries is
 * bounded, and duplicate keys are errors.
 *
 * <pre>{"version":"1.7","whole":false,"more":false,"stale_ms":12,
 * "entries":[{"key":"service/booking/pools.records","value":"attempts: 2\n","changed":"1.7"}]}</pre>
 */
public final class UpdateJson {
    /** Maximum size of an update: 10,000 sections of 1.6 KB. */
    public static final int MAX_BYTES = 16 << 20;
    /** Maximum number of entries in an update. */
    public static final int MAX_ENTRIES = 65_536;

    /** Greater than the depth of an update, to leave room for later additions. */
    private static final int MAX_DEPTH = 16;
    private static final int MAX_NAME_LENGTH = 256;
    /** Maximum number of epochs in a history: one per take-over by an operator. */
    private static final int MAX_EPOCHS = 10_000;
    private static final JsonFactory JSON = JsonFactory.builder()
        .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
        .streamReadConstraints(StreamReadConstraints.builder().maxNestingDepth(MAX_DEPTH).maxNameLength(MAX_NAME_LENGTH)
            .maxStringLength(Entry.MAX_VALUE_LENGTH).build())
        .build();

    private UpdateJson() {
    }

    /** Encodes an update. The result may exceed {@link #MAX_BYTES}; callers bound what they put in. */
    public static byte[] write(Update update) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (JsonGenerator json = JSON.createGenerator(bytes)) {
            json.writeStartObject();
            json.writeStringField("version", update.version().toString());
            json.writeBooleanField("whole", update.full());
            json.writeBooleanField("more", update.more());
            json.writeNumberField("stale_ms", update.staleMs());
            json.writeArrayFieldStart("entries");
            for (Entry entry : update.entries()) {
                write(json, entry);
            }
            json.writeEndArray();
            if (update.history() != null) {
                write(json, update.history());
            }
            json.writeEndObject();
        } catch (IOException e) {
            throw new UncheckedIOException("encoding to memory", e);
        }
        return bytes.toByteArray();
    }

    private static void write(JsonGenerator json, Entry entry) throws IOException {
        json.writeStartObject();
        json.writeStringField("key", entry.key().toString());
        json.writeStringField("value", entry.value());
        json.writeStringField("changed", entry.changedAt().toString());
        json.writeEndObject();
    }

    private static void write(JsonGenerator json, History history) throws IOException {
        json.writeObjectFieldStart("history");
        json.writeStringField("floor", history.floor().toString());
        json.writeArrayFieldStart("ends");
        for (ConfigurationVersion end : history.epochEnds()) {
            json.writeString(end.toString());
        }
        json.writeEndArray();
        json.writeEndObject();
    }

    /** Decodes an update from all of the bytes. */
    public static Update read(byte[] bytes) throws MalformedUpdateException {
        if (bytes.length > MAX_BYTES) {
            throw new MalformedUpdateException("update: " + bytes.length + " bytes, maximum " + MAX_BYTES);
        }
        try (JsonParser parser = JSON.createParser(bytes)) {
            JsonFields fields = new JsonFields(parser, "update");
            try {
                parser.nextToken();
                Update update = update(parser, fields);
                if (parser.nextToken() != null) {
                    throw fields.malformed("more than one document");
                }
                return update;
            } catch (JsonProcessingException e) {
                JsonLocation at = e.getLocation() == null ? parser.currentLocation() : e.getLocation();
                throw new MalformedUpdateException(fields.place(at) + Excerpt.of(e.getOriginalMessage()), e);
            }
        } catch (MalformedUpdateException e) {
            throw e;
        } catch (IOException e) {
            throw new MalformedUpdateException("update: " + Excerpt.of(String.valueOf(e.getMessage())), e);
        }
    }

    private static Update update(JsonParser parser, JsonFields fields) throws IOException {
        ConfigurationVersion version = null;
        boolean full = false;
        boolean more = false;
        long staleMs = Update.NO_PUBLISHER_CONTACT;
        List<Entry> entries = null;
        History history = null;
        fields.expect(JsonToken.START_OBJECT, "an object");
        while (parser.nextToken() != JsonToken.END_OBJECT) {
            String name = parser.currentName();
            parser.nextToken();
            switch (name) {
                case "version" -> version = fields.version();
                case "whole" -> full = parser.getBooleanValue();
                case "more" -> more = parser.getBooleanValue();
                case "stale_ms" -> staleMs = staleMs(parser, fields);
                case "entries" -> entries = entries(parser, fields);
                case "history" -> history = history(parser, fields);
                default -> parser.skipChildren();
            }
        }
        if (version == null || entries == null) {
            throw fields.malformed((version == null ? "`version`" : "`entries`") + " is missing");
        }
        for (Entry entry : entries) {
            if (entry.changedAt().isAfter(version)) {
                throw fields.malformed(entry.key() + " changed at " + entry.changedAt() + ", after version " + version);
            }
        }
        return new Update(version, full, more, entries, staleMs, history);
    }

    private static List<Entry> entries(JsonParser parser, JsonFields fields) throws IOException {
        List<Entry> entries = new ArrayList<>();
        Set<EntryKey> keys = new HashSet<>();
        fields.expect(JsonToken.START_ARRAY, "a list");
        while (parser.nextToken() != JsonToken.END_ARRAY) {
            Entry entry = entry(parser, fields);
            if (!keys.add(entry.key())) {
                throw fields.malformed(entry.key() + " occurs twice");
            }
            if (entries.size() == MAX_ENTRIES) {
                throw fields.malformed("more than " + MAX_ENTRIES + " entries");
            }
            entries.add(entry);
        }
        return entries;
    }

    private static Entry entry(JsonParser parser, JsonFields fields) throws IOException {
        EntryKey key = null;
        boolean hasValue = false;
        String value = null;
        ConfigurationVersion changedAt = null;
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
                case "changed" -> changedAt = fields.version();
                default -> parser.skipChildren();
            }
        }
        if (key == null || !hasValue || changedAt == null) {
            throw fields.malformed((key == null ? "`key`" : hasValue ? "`changed`" : "`value`") + " is missing");
        }
        return new Entry(key, value, changedAt);
    }

    private static History history(JsonParser parser, JsonFields fields) throws IOException {
        ConfigurationVersion floor = null;
        List<ConfigurationVersion> epochEnds = new ArrayList<>();
        fields.expect(JsonToken.START_OBJECT, "an object");
        while (parser.nextToken() != JsonToken.END_OBJECT) {
            String name = parser.currentName();
            parser.nextToken();
            switch (name) {
                case "floor" -> floor = fields.version();
                case "ends" -> epochEnds(parser, fields, epochEnds);
                default -> parser.skipChildren();
            }
        }
        if (floor == null) {
            throw fields.malformed("`floor` is missing");
        }
        return new History(floor, epochEnds);
    }

    private static void epochEnds(JsonParser parser, JsonFields fields, List<ConfigurationVersion> epochEnds) throws IOException {
        fields.expect(JsonToken.START_ARRAY, "a list");
        while (parser.nextToken() != JsonToken.END_ARRAY) {
            if (epochEnds.size() == MAX_EPOCHS) {
                throw fields.malformed("more than " + MAX_EPOCHS + " epochs");
            }
            epochEnds.add(fields.version());
        }
    }

    private static long staleMs(JsonParser parser, JsonFields fields) throws IOException {
        long staleMs = parser.getLongValue();
        if (staleMs < Update.NO_PUBLISHER_CONTACT) {
            throw fields.malformed(staleMs + " is not a valid age");
        }
        return staleMs;
    }
}
