package onyxpaddle.handover;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import onyxpaddle.BalancerApi.ClassSnapshot;
import onyxpaddle.BalancerApi.BalancerSnapshot;
import onyxpaddle.BalancerApi.ServerSnapshot;
import org.junit.jupiter.api.Test;

/** Guards against state that is lost or changed between processes: a message is read completely or refused. */
class HandoverMessageTest {
    private static Map<String, BalancerSnapshot> memory(int servers) {
        Map<String, BalancerSnapshot> pools = new LinkedHashMap<>();
        pools.put("app", known(servers));
        pools.put("", known(1));
        return pools;
    }

    private static BalancerSnapshot known(int servers) {
        List<ServerSnapshot> list = new ArrayList<>();
        for (int i = 0; i < servers; i++) {
            list.add(new ServerSnapshot("s-" + i, i, i % 2 == 1, List.of(0.5, 1.25, 3.0), 1_700_000_000_000_000_000L, 0.25, 1.5, 12, 0, 0, 0.75));
        }
        return new BalancerSnapshot(list, true, List.of(new ClassSnapshot("book", 3e7, 1e6, 0.5, 0.25, -0.5, 77)), List.of("s-1", "s-9"), 42.5, true, 3.25, 1e-7, 3);
    }

    @Test
    void readReturnsWhatWasWritten() throws IOException {
        assertEquals(memory(20), HandoverMessage.read(HandoverMessage.write(memory(20), HandoverMessage.VERSION)));
        assertEquals(memory(0), HandoverMessage.read(HandoverMessage.write(memory(0), HandoverMessage.VERSION)));
    }

    /** More than a thousand servers fit, each with a full sample window and a name of maximum length. */
    @Test
    void everyServerOfALargeFleetIsIncluded() throws IOException {
        List<ServerSnapshot> servers = new ArrayList<>();
        List<String> out = new ArrayList<>();
        for (int i = 0; i < 1_100; i++) {
            String name = "s%04d".formatted(i) + "x".repeat(1_000);
            out.add(name);
            servers.add(new ServerSnapshot(name, i, false, java.util.Collections.nCopies(20, 0.123456789 + i), 1_700_000_000_000_000_000L, 1.0 / 3, 1.0 / 7,
                1_700_000_000_000_000_000L, 1.0 / 9, 1_700_000_000_000_000_000L, 1.0 / 11));
        }
        BalancerSnapshot sent = new BalancerSnapshot(servers, true, List.of(), out, 42.5, true, 3.25, 1e-7, 3);
        BalancerSnapshot read = HandoverMessage.read(HandoverMessage.write(Map.of("", sent), HandoverMessage.VERSION)).get("");
        assertTrue(read.whole());
        assertEquals(1_100, read.servers().size());
        assertEquals(out, read.takenOut());
    }

    @Test
    void serversBeyondTheMaximumPayloadAreOmitted() throws IOException {
        byte[] message = HandoverMessage.write(memory(200_000), HandoverMessage.VERSION);
        assertTrue(message.length <= HandoverMessage.HEADER_SIZE + HandoverMessage.MAX_PAYLOAD);
        BalancerSnapshot read = HandoverMessage.read(message).get("app");
        assertTrue(read.servers().size() > 500);
        assertFalse(read.whole(), "the message tells that servers are missing");
        assertTrue(HandoverMessage.read(message).get("").whole());
    }

    @Test
    void tooManyPoolsAreRefused() {
        Map<String, BalancerSnapshot> pools = new LinkedHashMap<>();
        for (int i = 0; i < 65; i++) {
            pools.put("p" + i, known(0));
        }
        assertThrows(IOException.class, () -> HandoverMessage.write(pools, HandoverMessage.VERSION));
    }

    @Test
    void truncationAtAnyByteIsRefused() throws IOException {
        byte[] whole = HandoverMessage.write(memory(3), HandoverMessage.VERSION);
        for (int length = 0; length < whole.length; length++) {
            byte[] truncated = Arrays.copyOf(whole, length);
            assertThrows(IOException.class, () -> HandoverMessage.read(truncated));
        }
    }

    @Test
    void changeOfAnyByteIsRefused() throws IOException {
        byte[] whole = HandoverMessage.write(memory(3), HandoverMessage.VERSION);
        for (int at = 0; at < whole.length; at++) {
            byte[] changed = whole.clone();
            changed[at] ^= 0x10;
            assertThrows(IOException.class, () -> HandoverMessage.read(changed));
        }
    }

    @Test
    void refusalOfOtherFormatsVersionsAndSizesGivesTheReason() {
        assertTrue(refusal("GET / HTTP/1.1\r\n\r\n".getBytes()).contains("not a handover"));
        assertTrue(refusal(head(HandoverMessage.MAGIC, 7, 10)).contains("version 7"));
        assertTrue(refusal(head(HandoverMessage.MAGIC, HandoverMessage.VERSION, Integer.MAX_VALUE)).contains("is the most"));
        assertTrue(refusal(head(HandoverMessage.MAGIC, HandoverMessage.VERSION, -1)).contains("is the most"));
    }

    @Test
    void invalidStateWithAValidChecksumIsRefused() {
        Random random = new Random(5);
        String valid = "[42.5,true,3.25,1.0,3.0,[\"s\"],[[\"book\",1.0,1.0,0.0,0.0,0.0,7]],[[\"s\",1,2,0.5,1.0,3,0.0,4,0.5,1.0]]]";
        for (int i = 0; i < 20_000; i++) {
            StringBuilder text = new StringBuilder(valid);
            for (int n = random.nextInt(3); n >= 0; n--) {
                text.setCharAt(random.nextInt(text.length()), "[],\"-9eE.tn{}:x".charAt(random.nextInt(15)));
            }
            byte[] payload = text.toString().getBytes();
            java.util.zip.CRC32C crc = new java.util.zip.CRC32C();
            crc.update(payload);
            byte[] message = ByteBuffer.allocate(16 + payload.length).putInt(HandoverMessage.MAGIC)
                .putInt(HandoverMessage.VERSION).putInt(payload.length).putInt((int) crc.getValue()).put(payload).array();
            try {
                BalancerSnapshot read = HandoverMessage.read(message).getOrDefault("app", known(0));
                assertTrue(read.admitLimit() >= 1 && read.servers().size() <= 1);
            } catch (IOException e) {
                assertTrue(e.getMessage() != null);
            }
        }
    }

    private static byte[] head(int magic, int version, int length) {
        return ByteBuffer.allocate(16).putInt(magic).putInt(version).putInt(length).putInt(0).array();
    }

    private static String refusal(byte[] message) {
        return assertThrows(IOException.class, () -> HandoverMessage.read(message)).getMessage();
    }
}
