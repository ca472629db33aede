package onyxpaddle.control;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.List;
import onyxpaddle.distribution.ConfigurationVersion;

/** JSON form of {@link Status}. */
public final class StatusJson {
    /** Fits 16,384 nodes, each with a fault of 300 characters of which most are escaped. */
    public static final int MAX_BYTES = 32 << 20;
    private static final JsonFactory JSON = new JsonFactory();

    private StatusJson() {
    }

    static byte[] write(Status status) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (JsonGenerator json = JSON.createGenerator(bytes)) {
            json.writeStartObject();
            json.writeStringField("id", status.id());
            json.writeStringField("role", status.publisher() ? "publisher" : "replica");
            json.writeBooleanField("fenced", status.fenced());
            json.writeStringField("version", status.version().toString());
            json.writeNumberField("stale_ms", status.staleMs());
            json.writeNumberField("waiting", status.waiting());
            json.writeArrayFieldStart("followers");
            for (FollowerReport follower : status.followers()) {
                write(json, follower);
            }
            json.writeEndArray();
            json.writeArrayFieldStart("nodes");
            for (NodeReport node : status.nodes()) {
                write(json, node);
            }
            json.writeEndArray();
            json.writeEndObject();
            json.writeRaw('\n');
        } catch (IOException e) {
            throw new UncheckedIOException("writing to memory", e);
        }
        return bytes.toByteArray();
    }

    private static void write(JsonGenerator json, FollowerReport follower) throws IOException {
        json.writeStartObject();
        json.writeStringField("id", follower.id());
        json.writeStringField("held", follower.held().toString());
        json.writeNumberField("age_ms", follower.ageMs());
        json.writeEndObject();
    }

    private static void write(JsonGenerator json, NodeReport node) throws IOException {
        json.writeStartObject();
        json.writeStringField("node", node.node());
        json.writeStringField("service", node.service());
        json.writeStringField("held", node.held().toString());
        json.writeStringField("in_force", node.inForce().toString());
        json.writeStringField("refused", node.refused().toString());
        json.writeStringField("fault", node.fault());
        json.writeNumberField("age_ms", node.ageMs());
        json.writeEndObject();
    }

    /** Reads a status. Unknown fields are ignored, for compatibility with other versions of the program. */
    public static Status read(byte[] bytes) throws IOException {
        try (JsonParser parser = JSON.createParser(bytes)) {
            String id = "";
            String role = "";
            boolean fenced = false;
            String version = "0.0";
            long staleMs = -1;
            int waiting = 0;
            List<FollowerReport> followers = new ArrayList<>();
            List<NodeReport> nodes = new ArrayList<>();
            expect(parser.nextToken(), JsonToken.START_OBJECT);
            while (parser.nextToken() != JsonToken.END_OBJECT) {
                String name = parser.currentName();
                JsonToken token = parser.nextToken();
                switch (name) {
                    case "id" -> id = parser.getText();
                    case "role" -> role = parser.getText();
                    case "fenced" -> fenced = parser.getBooleanValue();
                    case "version" -> version = parser.getText();
                    case "stale_ms" -> staleMs = parser.getLongValue();
                    case "waiting" -> waiting = parser.getIntValue();
                    case "followers" -> {
                        expect(token, JsonToken.START_ARRAY);
                        while (parser.nextToken() != JsonToken.END_ARRAY) {
                            followers.add(follower(parser));
                        }
                    }
                    case "nodes" -> {
                        expect(token, JsonToken.START_ARRAY);
                        while (parser.nextToken() != JsonToken.END_ARRAY) {
                            nodes.add(node(parser));
                        }
                    }
                    default -> parser.skipChildren();
                }
            }
            return new Status(id, role.equals("publisher"), fenced, ConfigurationVersion.parse(version), staleMs, waiting,
                followers, nodes);
        } catch (IllegalArgumentException e) {
            throw new IOException("status: " + e.getMessage(), e);
        }
    }

    private static FollowerReport follower(JsonParser parser) throws IOException {
        String id = "";
        String held = "0.0";
        long ageMs = 0;
        expect(parser.currentToken(), JsonToken.START_OBJECT);
        while (parser.nextToken() != JsonToken.END_OBJECT) {
            String name = parser.currentName();
            parser.nextToken();
            switch (name) {
                case "id" -> id = parser.getText();
                case "held" -> held = parser.getText();
                case "age_ms" -> ageMs = parser.getLongValue();
                default -> parser.skipChildren();
            }
        }
        return new FollowerReport(id, ConfigurationVersion.parse(held), ageMs);
    }

    private static NodeReport node(JsonParser parser) throws IOException {
        String node = "";
        String service = "";
        String held = "0.0";
        String inForce = "0.0";
        String refused = "0.0";
        String fault = "";
        long ageMs = 0;
        expect(parser.currentToken(), JsonToken.START_OBJECT);
        while (parser.nextToken() != JsonToken.END_OBJECT) {
            String name = parser.currentName();
            parser.nextToken();
            switch (name) {
                case "node" -> node = parser.getText();
                case "service" -> service = parser.getText();
                case "held" -> held = parser.getText();
                case "in_force" -> inForce = parser.getText();
                case "refused" -> refused = parser.getText();
                case "fault" -> fault = parser.getText();
                case "age_ms" -> ageMs = parser.getLongValue();
                default -> parser.skipChildren();
            }
        }
        return new NodeReport(node, service, ConfigurationVersion.parse(held), ConfigurationVersion.parse(inForce),
            ConfigurationVersion.parse(refused), fault, ageMs);
    }

    private static void expect(JsonToken token, JsonToken expected) throws IOException {
        if (token != expected) {
            throw new IOException("status: expected " + expected + ", not " + token);
        }
    }
}
