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
 * Updates as JSON. Keys that are not known are passed over, so that a later process may say more. Numbers of bytes and of
 * entries are bounded, and each key may stand once.
 *
 * <pre>{"version":"1.7","whole":false,"more":false,"stale_ms":12,
 * "entries":[{"key":"service/booking/pools.records","value":"attempts: 2\n","changed":"1.7"}]}</pre>
 */
public final class UpdateJson {
    /** The most bytes of an update: 10,000 sections of 1.6 KB. */
    public static final int MAX_BYTES = 16 << 20;
    /** The most entries of an update. */
    public static final int MAX_ENTRIES = 65_536;

    /** No part of an update lies deeper; the rest is room for later ones. */
    private static final int DEEPEST = 16;
    private static final int LONGEST_NAME = 256;
    /** The most epochs that a history names: one for each take-over by an operator. */
    private static final int MOST_ENDS = 10_000;
    private static final JsonFactory JSON = JsonFactory.builder()
        .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
        .streamReadConstraints(StreamReadConstraints.builder().maxNestingDepth(DEEPEST).maxNameLength(LONGEST_NAME)
            .maxStringLength(Entry.MAX_VALUE_LENGTH).build())
        .build();

    private UpdateJson() {
    }

    /** The bytes of an update; may be more than {@link #MAX_BYTES}: who writes bounds what it puts in. */
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
            throw new UncheckedIOException("writing to memory", e);
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
        for (ConfigurationVersion end : history.ends()) {
            json.writeString(end.toString());
        }
        json.writeEndArray();
        json.writeEndObject();
    }

    /** Reads an update: all of the bytes, or an error. */
    public static Update read(byte[] bytes) throws MalformedUpdateException {
        if (bytes.length > MAX_BYTES) {
            throw new MalformedUpdateException("update: of " + bytes.length + " bytes; at most " + MAX_BYTES + " are taken");
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
                throw new MalformedUpdateException(fields.place(at) + Shortened.of(e.getOriginalMessage()), e);
            }
        } catch (MalformedUpdateException e) {
            throw e;
        } catch (IOException e) {
            throw new MalformedUpdateException("update: " + Shortened.of(String.valueOf(e.getMessage())), e);
        }
    }

    private static Update update(JsonParser parser, JsonFields fields) throws IOException {
        ConfigurationVersion version = null;
        boolean whole = false;
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
                case "whole" -> whole = parser.getBooleanValue();
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
        return new Update(version, whole, more, entries, staleMs, history);
    }

    private static List<Entry> entries(JsonParser parser, JsonFields fields) throws IOException {
        List<Entry> entries = new ArrayList<>();
        Set<EntryKey> keys = new HashSet<>();
        fields.expect(JsonToken.START_ARRAY, "a list");
        while (parser.nextToken() != JsonToken.END_ARRAY) {
            Entry entry = entry(parser, fields);
            if (!keys.add(entry.key())) {
                throw fields.malformed(entry.key() + " stands twice");
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
        boolean valued = false;
        String value = null;
        ConfigurationVersion changedAt = null;
        fields.expect(JsonToken.START_OBJECT, "an object");
        while (parser.nextToken() != JsonToken.END_OBJECT) {
            String name = parser.currentName();
            parser.nextToken();
            switch (name) {
                case "key" -> key = fields.key();
                case "value" -> {
                    valued = true;
                    value = fields.textOrNull();
                }
                case "changed" -> changedAt = fields.version();
                default -> parser.skipChildren();
            }
        }
        if (key == null || !valued || changedAt == null) {
            throw fields.malformed((key == null ? "`key`" : valued ? "`changed`" : "`value`") + " is missing");
        }
        return new Entry(key, value, changedAt);
    }

    private static History history(JsonParser parser, JsonFields fields) throws IOException {
        ConfigurationVersion floor = null;
        List<ConfigurationVersion> ends = new ArrayList<>();
        fields.expect(JsonToken.START_OBJECT, "an object");
        while (parser.nextToken() != JsonToken.END_OBJECT) {
            String name = parser.currentName();
            parser.nextToken();
            switch (name) {
                case "floor" -> floor = fields.version();
                case "ends" -> ends(parser, fields, ends);
                default -> parser.skipChildren();
            }
        }
        if (floor == null) {
            throw fields.malformed("`floor` is missing");
        }
        return new History(floor, ends);
    }

    private static void ends(JsonParser parser, JsonFields fields, List<ConfigurationVersion> ends) throws IOException {
        fields.expect(JsonToken.START_ARRAY, "a list");
        while (parser.nextToken() != JsonToken.END_ARRAY) {
            if (ends.size() == MOST_ENDS) {
                throw fields.malformed("more than " + MOST_ENDS + " epochs");
            }
            ends.add(fields.version());
        }
    }

    private static long staleMs(JsonParser parser, JsonFields fields) throws IOException {
        long staleMs = parser.getLongValue();
        if (staleMs < Update.NO_PUBLISHER_CONTACT) {
            throw fields.malformed(staleMs + " is no age");
        }
        return staleMs;
    }
}
