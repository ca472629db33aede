package onyxpaddle.scale;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.Locale;

/** Writes a list's answer in the platform's form. */
final class ListJson {
    private static final JsonFactory JSON = new JsonFactory();

    private ListJson() {
    }

    static byte[] write(ListTable.Answer answer) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (JsonGenerator json = JSON.createGenerator(bytes)) {
            json.writeStartObject();
            json.writeNumberField("seq", answer.version());
            json.writeBooleanField("whole", answer.whole());
            json.writeArrayFieldStart("hosts");
            for (ListedServer server : answer.lines()) {
                line(json, server);
            }
            json.writeEndArray();
            json.writeEndObject();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return bytes.toByteArray();
    }

    private static void line(JsonGenerator json, ListedServer server) throws IOException {
        json.writeStartObject();
        json.writeStringField("host", server.host());
        json.writeStringField("dial", server.dial());
        json.writeStringField("site", server.site());
        json.writeStringField("class", "m2");
        json.writeNumberField("block", 0);
        json.writeStringField("health", server.health().name().toLowerCase(Locale.ROOT));
        json.writeNumberField("share", 1.0);
        json.writeNumberField("born_ms", server.bornMs());
        json.writeEndObject();
    }
}
