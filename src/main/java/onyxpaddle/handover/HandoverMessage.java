package onyxpaddle.handover;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.StreamReadConstraints;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.zip.CRC32C;
import onyxpaddle.BalancerApi.ClassSnapshot;
import onyxpaddle.BalancerApi.BalancerSnapshot;
import onyxpaddle.BalancerApi.ServerSnapshot;

/**
 * Serialized state that one process of a node hands over to the next: magic, version, length and CRC32C of the payload, and the payload
 * as JSON. Big-endian, payload limited to {@link #MAX_PAYLOAD}. Messages that are too long, truncated, corrupt, of another format or
 * invalid are refused with a reason.
 */
public final class HandoverMessage {
    static final int MAGIC = 0x4c55504e;
    /** With messages on single requests behind the state, see {@link RunMessage}. */
    static final int VERSION = 4;
    /** Without them. */
    static final int VERSION_WITHOUT_RUNS = 3;
    /** Size of the header in bytes: magic, version, length, checksum. */
    public static final int HEADER_SIZE = 16;
    /**
     * Maximum payload in bytes: enough for 10,000 servers with full sample windows and names of usual length, or 3,000 with the longest
     * names. Bounds the memory that a faulty sender can make the receiver use; the receiver's buffer grows with the bytes received.
     */
    public static final int MAX_PAYLOAD = 4 << 20;
    private static final int MAX_SERVERS = 10_000;
    private static final int MAX_POOLS = 64;
    private static final int MAX_CLASSES = 1_000;
    private static final int MAX_NAME = 1024;
    private static final JsonFactory JSON = JsonFactory.builder().streamReadConstraints(StreamReadConstraints.builder()
        .maxNestingDepth(8).maxStringLength(MAX_NAME).maxNumberLength(40).build()).build();

    private HandoverMessage() {
    }

    /** The request of the new process: magic, version and the node's name, as the state is valid for the same node only. */
    public static byte[] request(String node, int version) {
        byte[] name = node.getBytes(StandardCharsets.UTF_8);
        return ByteBuffer.allocate(12 + name.length).putInt(MAGIC).putInt(version).putInt(name.length).put(name).array();
    }

    /** Serializes the state by pool. Servers beyond the maximum payload are omitted, as their state can be learnt again. */
    public static byte[] write(Map<String, BalancerSnapshot> pools, int version) throws IOException {
        int maxServers = MAX_SERVERS;
        byte[] payload = json(pools, maxServers);
        while (payload.length > MAX_PAYLOAD && maxServers > 0) {
            maxServers /= 2;
            payload = json(pools, maxServers);
        }
        if (payload.length > MAX_PAYLOAD || pools.size() > MAX_POOLS) {
            throw new IOException("too many classes or pools to hand over: " + payload.length + " bytes, " + pools.size() + " pools");
        }
        return ByteBuffer.allocate(HEADER_SIZE + payload.length).putInt(MAGIC).putInt(version).putInt(payload.length)
            .putInt(checksum(payload)).put(payload).array();
    }

    private static int checksum(byte[] payload) {
        CRC32C crc = new CRC32C();
        crc.update(payload);
        return (int) crc.getValue();
    }

    /** Reads the payload's length from a header of {@link #HEADER_SIZE} bytes. */
    public static int length(byte[] header) throws IOException {
        ByteBuffer in = ByteBuffer.wrap(header);
        if (in.getInt() != MAGIC) {
            throw new IOException("not a handover message");
        }
        int version = in.getInt();
        if (version != VERSION && version != VERSION_WITHOUT_RUNS) {
            throw new IOException("handover message of version " + version + ", expected " + VERSION + " or " + VERSION_WITHOUT_RUNS);
        }
        int length = in.getInt();
        if (length < 2 || length > MAX_PAYLOAD) {
            throw new IOException("handover message of " + length + " bytes, " + MAX_PAYLOAD + " is the most");
        }
        return length;
    }

    /** Parses a complete message and returns the state by pool. */
    public static Map<String, BalancerSnapshot> read(byte[] message) throws IOException {
        if (message.length < HEADER_SIZE) {
            throw new IOException("handover message truncated in its header");
        }
        int length = length(message);
        byte[] payload = java.util.Arrays.copyOfRange(message, HEADER_SIZE, message.length);
        if (payload.length != length) {
            throw new IOException("handover message with " + payload.length + " bytes of payload, its header says " + length);
        }
        if (ByteBuffer.wrap(message).getInt(12) != checksum(payload)) {
            throw new IOException("handover message with a wrong checksum");
        }
        try (JsonParser p = JSON.createParser(payload)) {
            Map<String, BalancerSnapshot> pools = new LinkedHashMap<>();
            startArray(p);
            while (nextElement(p, pools.size(), MAX_POOLS)) {
                expect(pools.put(text(p), memory(p)) == null);
                endArray(p);
            }
            if (p.nextToken() != null) {
                throw new IOException("handover message with trailing data");
            }
            return pools;
        } catch (IllegalArgumentException e) {
            throw new IOException("handover message with invalid state: " + e.getMessage(), e);
        }
    }

    // ---- JSON: positional arrays, as both sides have the same format version ----

    private static byte[] json(Map<String, BalancerSnapshot> pools, int maxServers) throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        try (JsonGenerator g = JSON.createGenerator(out)) {
            g.writeStartArray();
            for (Map.Entry<String, BalancerSnapshot> pool : pools.entrySet()) {
                g.writeStartArray();
                g.writeString(pool.getKey());
                write(g, pool.getValue(), maxServers);
                g.writeEndArray();
            }
            g.writeEndArray();
        }
        return out.toByteArray();
    }

    private static void write(JsonGenerator g, BalancerSnapshot memory, int maxServers) throws IOException {
        List<ServerSnapshot> servers = memory.servers().subList(0, Math.min(maxServers, memory.servers().size()));
        g.writeNumber(memory.admitLimit());
        g.writeBoolean(memory.lateSeen());
        g.writeNumber(memory.retriesSaved());
        g.writeNumber(memory.usualRank());
        g.writeNumber(memory.usualWorth());
        g.writeBoolean(memory.whole() && servers.size() == memory.servers().size());
        g.writeStartArray();
        for (String server : memory.takenOut()) {
            g.writeString(server);
        }
        g.writeEndArray();
        g.writeStartArray();
        for (ClassSnapshot c : memory.classes()) {
            g.writeStartArray();
            g.writeString(c.name());
            for (double figure : new double[] {c.trip(), c.deviation(), c.cost(), c.costVariance(), c.covariance()}) {
                g.writeNumber(figure);
            }
            g.writeNumber(c.seen());
            g.writeEndArray();
        }
        g.writeEndArray();
        g.writeStartArray();
        for (ServerSnapshot s : servers) {
            g.writeStartArray();
            g.writeString(s.server());
            g.writeNumber(s.startedAt());
            g.writeBoolean(s.leaving());
            g.writeNumber(s.sampledAt());
            g.writeNumber(s.errorShare());
            g.writeNumber(s.failures());
            g.writeNumber(s.failedAt());
            g.writeNumber(s.full());
            g.writeNumber(s.fullAt());
            g.writeNumber(s.credit());
            for (double trip : s.trips()) {
                g.writeNumber((float) trip);
            }
            g.writeEndArray();
        }
        g.writeEndArray();
    }

    private static BalancerSnapshot memory(JsonParser p) throws IOException {
        double admitLimit = number(p);
        boolean lateSeen = flag(p);
        double retriesSaved = number(p);
        double usualRank = number(p);
        double usualWorth = number(p);
        boolean whole = flag(p);
        List<String> takenOut = new ArrayList<>();
        startArray(p);
        while (p.nextToken() != JsonToken.END_ARRAY) {
            expect(p.currentToken() == JsonToken.VALUE_STRING && takenOut.size() < MAX_SERVERS);
            takenOut.add(p.getText());
        }
        List<ClassSnapshot> classes = new ArrayList<>();
        startArray(p);
        while (nextElement(p, classes.size(), MAX_CLASSES)) {
            classes.add(new ClassSnapshot(text(p), number(p), number(p), number(p), number(p), number(p), (int) whole(p)));
            endArray(p);
        }
        List<ServerSnapshot> servers = new ArrayList<>();
        startArray(p);
        while (nextElement(p, servers.size(), MAX_SERVERS)) {
            servers.add(server(p));
        }
        return new BalancerSnapshot(servers, whole, classes, takenOut, admitLimit, lateSeen, retriesSaved, usualRank, usualWorth);
    }

    private static ServerSnapshot server(JsonParser p) throws IOException {
        String id = text(p);
        long startedAt = whole(p);
        boolean leaving = flag(p);
        long sampledAt = whole(p);
        double errorShare = number(p);
        double failures = number(p);
        long failedAt = whole(p);
        double full = number(p);
        long fullAt = whole(p);
        double credit = number(p);
        List<Double> trips = new ArrayList<>();
        while (p.nextToken() != JsonToken.END_ARRAY) {
            if (p.currentToken() == null || !p.currentToken().isNumeric() || trips.size() > 20) {
                throw new IOException("handover message with invalid round trips");
            }
            trips.add(p.getDoubleValue());
        }
        return new ServerSnapshot(id, startedAt, leaving, trips, sampledAt, errorShare, failures, failedAt, full, fullAt, credit);
    }

    private static void startArray(JsonParser p) throws IOException {
        expect(p.nextToken() == JsonToken.START_ARRAY);
    }

    private static void endArray(JsonParser p) throws IOException {
        expect(p.nextToken() == JsonToken.END_ARRAY);
    }

    private static boolean nextElement(JsonParser p, int count, int max) throws IOException {
        JsonToken next = p.nextToken();
        expect(next == JsonToken.END_ARRAY || next == JsonToken.START_ARRAY && count < max);
        return next == JsonToken.START_ARRAY;
    }

    private static boolean flag(JsonParser p) throws IOException {
        Boolean flag = p.nextBooleanValue();
        expect(flag != null);
        return flag;
    }

    private static double number(JsonParser p) throws IOException {
        JsonToken next = p.nextToken();
        expect(next != null && next.isNumeric());
        return p.getDoubleValue();
    }

    private static long whole(JsonParser p) throws IOException {
        expect(p.nextToken() == JsonToken.VALUE_NUMBER_INT);
        return p.getLongValue();
    }

    private static String text(JsonParser p) throws IOException {
        expect(p.nextToken() == JsonToken.VALUE_STRING);
        return p.getText();
    }

    private static void expect(boolean valid) throws IOException {
        if (!valid) {
            throw new IOException("handover message with an unexpected JSON structure");
        }
    }
}
