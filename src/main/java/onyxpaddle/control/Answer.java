package onyxpaddle.control;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * An HTTP response with a JSON body.
 *
 * @param retryAfterSeconds value of the Retry-After header; 0 for none
 */
record Answer(int status, byte[] body, long retryAfterSeconds) {
    static final int OK = 200;
    static final int NOT_CONFIRMED = 202;
    static final int BAD_REQUEST = 400;
    static final int NOT_FOUND = 404;
    static final int METHOD_NOT_ALLOWED = 405;
    static final int CONFLICT = 409;
    static final int FENCED = 410;
    static final int TOO_LARGE = 413;
    static final int MISDIRECTED = 421;
    static final int INVALID_CHANGES = 422;
    static final int BUSY = 503;
    static final int STORAGE_FAILED = 507;

    private static final JsonFactory JSON = new JsonFactory();

    static Answer ok(byte[] body) {
        return new Answer(OK, body, 0);
    }

    /** {@code {"reason":"…"}}. */
    static Answer refused(int status, String reason) {
        return new Answer(status, jsonObject("reason", List.of(reason), false), 0);
    }

    /** {@code {"NAME":["…",…]}}. */
    static Answer refused(int status, String name, List<String> reasons) {
        return new Answer(status, jsonObject(name, reasons, true), 0);
    }

    static Answer busy(String reason, long waitNanos) {
        long seconds = Math.max(1, TimeUnit.NANOSECONDS.toSeconds(waitNanos + TimeUnit.SECONDS.toNanos(1) - 1));
        return new Answer(BUSY, jsonObject("reason", List.of(reason), false), seconds);
    }

    /** {@code {"version":"E.N","replicas":K}}. */
    static Answer published(int status, String version, int replicas) {
        String value = "{\"version\":\"" + version + "\",\"replicas\":" + replicas + "}\n";
        return new Answer(status, value.getBytes(java.nio.charset.StandardCharsets.US_ASCII), 0);
    }

    private static byte[] jsonObject(String name, List<String> values, boolean asArray) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (JsonGenerator json = JSON.createGenerator(bytes)) {
            json.writeStartObject();
            json.writeFieldName(name);
            if (asArray) {
                json.writeStartArray();
            }
            for (String value : values) {
                json.writeString(value);
            }
            if (asArray) {
                json.writeEndArray();
            }
            json.writeEndObject();
            json.writeRaw('\n');
        } catch (IOException e) {
            throw new UncheckedIOException("writing to memory", e);
        }
        return bytes.toByteArray();
    }
}
