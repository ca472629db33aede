package onyxpaddle.distribution;

import com.fasterxml.jackson.core.JsonLocation;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;

/**
 * Reads the values of updates and changes from a JSON parser. An invalid value raises an error with its location:
 * {@code document:line:column: path: message}. For one document and one thread.
 */
public final class JsonFields {
    private final JsonParser parser;
    private final String document;

    /** {@code document}: the name of the document in error messages. */
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
        expect(JsonToken.VALUE_STRING, "a string");
        return parser.getText();
    }

    /** Returns a string, or {@code null} for a JSON null. */
    public String textOrNull() throws IOException {
        return parser.currentToken() == JsonToken.VALUE_NULL ? null : text();
    }

    /** Throws unless the current token is {@code token}; {@code description}: its name in the error message. */
    public void expect(JsonToken token, String description) throws MalformedUpdateException {
        if (parser.currentToken() != token) {
            throw malformed("expected " + description);
        }
    }

    /** Creates an error at the parser's current location. */
    public MalformedUpdateException malformed(String message) {
        return new MalformedUpdateException(place(parser.currentLocation()) + message);
    }

    /** The prefix of an error message for this location. */
    String place(JsonLocation at) {
        String path = parser.getParsingContext().pathAsPointer().toString();
        return document + ":" + at.getLineNr() + ":" + at.getColumnNr() + ": " + (path.isEmpty() ? "" : path + ": ");
    }
}
