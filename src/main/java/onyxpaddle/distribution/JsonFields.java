package onyxpaddle.distribution;

import com.fasterxml.jackson.core.JsonLocation;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;

/**
 * Reads the values that updates and changes are made of from a JSON parser; what is none of them is an error that says its place:
 * {@code document:line:column: path: what is wrong}. For one document and one thread.
 */
public final class JsonFields {
    private final JsonParser parser;
    private final String document;

    /** {@code document}: what errors call the document. */
    public JsonFields(JsonParser parser, String document) {
        this.parser = parser;
        this.document = document;
    }

    public ConfigurationVersion version() throws IOException {
        try {
            return ConfigurationVersion.parse(text());
        } catch (IllegalArgumentException e) {
            throw malformed(e.getMessage());
        }
    }

    public EntryKey key() throws IOException {
        try {
            return EntryKey.parse(text());
        } catch (IllegalArgumentException e) {
            throw malformed(e.getMessage());
        }
    }

    public String text() throws IOException {
        expect(JsonToken.VALUE_STRING, "a text");
        return parser.getText();
    }

    /** A text, or null where the document says null. */
    public String textOrNull() throws IOException {
        return parser.currentToken() == JsonToken.VALUE_NULL ? null : text();
    }

    /** Fails unless the parser stands on this token; {@code told}: what a person would call it. */
    public void expect(JsonToken token, String told) throws MalformedUpdateException {
        if (parser.currentToken() != token) {
            throw malformed("expected " + told);
        }
    }

    /** An error where the parser stands. */
    public MalformedUpdateException malformed(String wrong) {
        return new MalformedUpdateException(place(parser.currentLocation()) + wrong);
    }

    /** The start of an error at this location. */
    String place(JsonLocation at) {
        String path = parser.getParsingContext().pathAsPointer().toString();
        return document + ":" + at.getLineNr() + ":" + at.getColumnNr() + ": " + (path.isEmpty() ? "" : path + ": ");
    }
}
