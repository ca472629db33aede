package onyxpaddle.distribution;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;

class UpdateJsonTest {
    private static final ConfigurationVersion AT = new ConfigurationVersion(2, 7);
    private static final Update UPDATE = new Update(AT, true, false,
        List.of(new Entry(EntryKey.parse("service/booking/pools.records"), "attempts: 2 # \"é\"\n", AT),
            new Entry(EntryKey.parse("fleet/routes"), null, new ConfigurationVersion(1, 3))), 120,
        new History(new ConfigurationVersion(1, 1), List.of(new ConfigurationVersion(1, 4))));

    @Test
    void updateRoundTrips() throws MalformedUpdateException {
        assertEquals(UPDATE, UpdateJson.read(UpdateJson.write(UPDATE)));
        Update forNode = new Update(AT, false, true, List.of(), Update.NO_PUBLISHER_CONTACT);
        assertEquals(forNode, UpdateJson.read(UpdateJson.write(forNode)));
    }

    @Test
    void truncationAtAnyByteIsMalformed() {
        byte[] bytes = UpdateJson.write(UPDATE);
        for (int length = 0; length < bytes.length; length++) {
            byte[] part = Arrays.copyOf(bytes, length);
            MalformedUpdateException e = assertThrows(MalformedUpdateException.class, () -> UpdateJson.read(part));
            assertTrue(e.getMessage().startsWith("update:1:"), e.getMessage());
        }
    }

    @Test
    void anyFlippedBitIsReadOrRejectedWithoutOtherErrors() {
        byte[] bytes = UpdateJson.write(UPDATE);
        for (int at = 0; at < bytes.length; at++) {
            for (int bit = 0; bit < 8; bit++) {
                byte[] changed = bytes.clone();
                changed[at] ^= (byte) (1 << bit);
                try {
                    UpdateJson.read(changed);
                } catch (MalformedUpdateException e) {
                    assertTrue(e.getMessage().startsWith("update:"), e.getMessage());
                }
            }
        }
    }

    @Test
    void errorMessagesHaveTheirLocation() {
        String entry = "{\"key\":\"fleet/routes\",\"value\":\"x\",\"changed\":\"1.1\"}";
        assertMalformed("[]", "expected an object");
        assertMalformed("{\"entries\":[]}", "`version` is missing");
        assertMalformed("{\"version\":\"1.1\"}", "`entries` is missing");
        assertMalformed("{\"version\":\"1.x\",\"entries\":[]}", "/version: `1.x` is not a version");
        assertMalformed("{\"version\":\"1.1\",\"version\":\"1.2\",\"entries\":[]}", "uplicate");
        assertMalformed("{\"version\":\"1.1\",\"entries\":[" + entry + "," + entry + "]}", "fleet/routes occurs twice");
        assertMalformed("{\"version\":\"1.0\",\"entries\":[" + entry + "]}", "after version 1.0");
        assertMalformed("{\"version\":\"1.1\",\"entries\":[{\"key\":\"fleet/routes\",\"changed\":\"1.1\"}]}",
            "/entries/0: `value` is missing");
        assertMalformed("{\"version\":\"1.1\",\"entries\":[],\"stale_ms\":-2}", "-2 is not a valid age");
        assertMalformed("{\"version\":\"1.1\",\"entries\":[]} {}", "more than one document");
        assertMalformed("{\"version\":\"1.1\",\"x\":" + "[".repeat(1000), "epth");
    }

    private static void assertMalformed(String json, String message) {
        MalformedUpdateException e = assertThrows(MalformedUpdateException.class,
            () -> UpdateJson.read(json.getBytes(StandardCharsets.UTF_8)));
        assertTrue(e.getMessage().contains(message), e.getMessage());
    }

    @Test
    void sizesAreBounded() {
        assertThrows(MalformedUpdateException.class, () -> UpdateJson.read(new byte[UpdateJson.MAX_BYTES + 1]));
        List<Entry> many = new ArrayList<>();
        for (int i = 0; i <= UpdateJson.MAX_ENTRIES; i++) {
            many.add(new Entry(new EntryKey(Scope.NODE, "n" + i, "routes"), "x", AT));
        }
        byte[] most = UpdateJson.write(new Update(AT, true, false, many.subList(0, UpdateJson.MAX_ENTRIES), 0));
        assertTrue(most.length < UpdateJson.MAX_BYTES);
        byte[] over = UpdateJson.write(new Update(AT, true, false, many, 0));
        assertThrows(MalformedUpdateException.class, () -> UpdateJson.read(over));
        assertMalformed("{\"version\":\"1.1\",\"entries\":[{\"key\":\"fleet/routes\",\"value\":\"" + "x".repeat(Entry.MAX_VALUE_LENGTH + 1)
            + "\",\"changed\":\"1.1\"}]}", "exceeds");
    }
}
