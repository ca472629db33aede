package onyxpaddle.bgp;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import onyxpaddle.bgp.BgpMessage.Capabilities;
import onyxpaddle.bgp.BgpMessage.ReceivedUpdate;
import onyxpaddle.bgp.BgpMessage.Keepalive;
import onyxpaddle.bgp.BgpMessage.Notification;
import onyxpaddle.bgp.BgpMessage.Open;
import onyxpaddle.bgp.BgpMessage.RouteRefresh;
import onyxpaddle.bgp.BgpMessage.Update;
import org.junit.jupiter.api.Test;

/**
 * Tests encoding against byte vectors built from the RFCs, and the handling of invalid input against RFC 4271, 6, and RFC 7606.
 */
class MessagesTest {
    private static final String MARKER = "ff".repeat(16);
    private static final Prefix IPV4 = new Prefix(new byte[] {10, 9, 8, 7}, 32);
    private static final Prefix IPV6 = new Prefix(new byte[] {0x20, 1, 13, (byte) 0xb8, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 1}, 64);
    private static final byte[] NEXT_HOP = {10, 0, 0, 1};

    private static byte[] hex(String text) {
        return ByteBufUtil.decodeHexDump(text.replace(" ", ""));
    }

    private static void assertWritten(String expected, BgpMessage message, boolean fourOctet) {
        assertEquals(expected.replace(" ", ""), ByteBufUtil.hexDump(MessageWriter.write(message, fourOctet)));
    }

    private static BgpMessage read(byte[] bytes, boolean fourOctet) throws BgpException {
        ByteBuf in = Unpooled.wrappedBuffer(bytes);
        int length = MessageReader.length(in);
        if (length < 0 || length > in.readableBytes()) {
            return null;
        }
        return MessageReader.read(in.slice(0, length), fourOctet);
    }

    /** Prepends the header. */
    private static byte[] message(int type, String body) {
        int length = 19 + hex(body).length;
        return hex(MARKER + "%04x%02x".formatted(length, type) + body.replace(" ", ""));
    }

    private static void assertFault(ErrorCode error, byte[] bytes) {
        Notification n = assertThrows(BgpException.class, () -> read(bytes, true)).notification();
        assertEquals(ErrorCode.describe(error.code, error.subcode), n.toString());
    }

    @Test
    void messagesAreEncodedAsInTheRfcs() {
        assertWritten(MARKER + "0013 04", new Keepalive(), true);
        assertWritten(MARKER + "0015 03 06 02", new Notification(ErrorCode.SHUTDOWN), true);
        assertWritten(MARKER + "0017 05 0001 00 01", new RouteRefresh(1, 1), true);
        // Version, AS_TRANS, hold time, identifier; one parameter of capabilities: IPv4, IPv6, refresh, four-octet AS.
        assertWritten(MARKER + "0033 01 04 5ba0 005a 0a000001 16 02 14 0104 0001 0001 0104 0002 0001 0200 4104 000111d0",
            new Open(4, 70096, 90, 0x0a000001L, Capabilities.OWN), true);
        // No withdrawn; ORIGIN IGP, AS_PATH of one four-octet number, NEXT_HOP; 10.9.8.7/32.
        assertWritten(MARKER + "0030 02 0000 0014 40 01 01 00 40 02 06 02 01 00011170 40 03 04 0a000001 20 0a090807",
            new Update(List.of(), List.of(IPV4), new PathAttributes(List.of(70000L), NEXT_HOP, null, null, List.of())), true);
        // The same for a peer that knows two octets: AS_TRANS in the path, and the number in AS4_PATH.
        assertWritten(MARKER + "0037 02 0000 001b 40 01 01 00 40 02 04 02 01 5ba0 40 03 04 0a000001 c0 11 06 02 01 00011170 20 0a090807",
            new Update(List.of(), List.of(IPV4), new PathAttributes(List.of(70000L), NEXT_HOP, null, null, List.of())), false);
        assertWritten(MARKER + "001c 02 0005 20 0a090807 0000", new Update(List.of(IPV4), List.of(), null), true);
        // IPv6 goes in MP_REACH_NLRI and MP_UNREACH_NLRI.
        assertWritten(MARKER + "0026 02 0000 000f 80 0f 0c 0002 01 40 20010db800000000",
            new Update(List.of(IPV6), List.of(), null), true);
        assertWritten(MARKER + "0054 02 0000 003d 80 0e 1e 0002 01 10 20010db8000000000000000000000009 00 40 20010db800000000 40 01 01 00"
            + "40 02 00 80 04 04 000000c8 40 05 04 00000000 c0 08 04 ffff0000",
            new Update(List.of(), List.of(IPV6), new PathAttributes(List.of(),
            hex("20010db8000000000000000000000009"), 0L, 200L, List.of(PathAttributes.GRACEFUL_SHUTDOWN))), true);
    }

    @Test
    void encodedMessagesAreDecodedUnchanged() throws BgpException {
        for (Open open : List.of(new Open(4, 65001, 90, 7, Capabilities.OWN), new Open(4, 4_200_000_000L, 0, 0xffffffffL, Capabilities.OWN),
                new Open(4, 1, 3, 1, new Capabilities(false, true, false, false)))) {
            assertEquals(open, read(ByteBufUtil.getBytes(MessageWriter.write(open, true)), true));
        }
        Random random = new Random(5);
        for (int i = 0; i < 2_000; i++) {
            boolean ipv6 = random.nextBoolean();
            List<Prefix> withdrawn = prefixes(random, ipv6);
            List<Prefix> announced = prefixes(random, ipv6);
            Update update = new Update(withdrawn, announced, new PathAttributes(
                random.nextBoolean() ? List.of() : List.of(random.nextLong(1, 1L << 32)),
                ipv6 ? new byte[16] : NEXT_HOP, random.nextBoolean() ? 5L : null, random.nextBoolean() ? 6L : null, List.of(1, 2)));
            for (boolean fourOctet : new boolean[] {true, false}) {
                assertEquals(new ReceivedUpdate(announced.size(), withdrawn.size(), null),
                    read(ByteBufUtil.getBytes(MessageWriter.write(update, fourOctet)), fourOctet));
            }
        }
    }

    private static List<Prefix> prefixes(Random random, boolean ipv6) {
        List<Prefix> all = new ArrayList<>();
        for (int i = random.nextInt(20); i > 0; i--) {
            byte[] address = new byte[ipv6 ? 16 : 4];
            random.nextBytes(address);
            all.add(new Prefix(address, random.nextInt(8 * address.length + 1)));
        }
        return all;
    }

    @Test
    void eachHeaderErrorIsReportedAsInSection61() throws BgpException {
        byte[] unmarked = message(4, "");
        unmarked[3] = 0;
        assertFault(ErrorCode.NOT_SYNCHRONIZED, unmarked);
        assertFault(ErrorCode.BAD_LENGTH, hex(MARKER + "0012 04"));
        assertFault(ErrorCode.BAD_LENGTH, hex(MARKER + "1001 02"));
        assertFault(ErrorCode.BAD_LENGTH, hex(MARKER + "0014 04 00"));
        assertFault(ErrorCode.BAD_LENGTH, hex(MARKER + "001c 01"));
        assertFault(ErrorCode.BAD_LENGTH, hex(MARKER + "0016 02"));
        assertFault(ErrorCode.BAD_LENGTH, hex(MARKER + "0014 03"));
        assertFault(ErrorCode.BAD_TYPE, hex(MARKER + "0013 06"));
        assertFault(ErrorCode.BAD_TYPE, hex(MARKER + "0013 00"));
        assertFault(ErrorCode.ROUTE_REFRESH_LENGTH, hex(MARKER + "0018 05"));
        assertArrayEquals(new byte[] {0, 18},
            assertThrows(BgpException.class, () -> read(hex(MARKER + "0012 04"), true)).notification().data());
        assertNull(read(hex(MARKER + "00"), true), "incomplete header");
    }

    @Test
    void eachOpenErrorIsReportedAsInSection62() {
        assertFault(ErrorCode.OPEN_UNSPECIFIC, message(1, "04 fde9 005a 00000001 05"));
        assertFault(ErrorCode.OPEN_UNSPECIFIC, message(1, "04 fde9 005a 00000001 01 02"));
        assertFault(ErrorCode.OPEN_UNSPECIFIC, message(1, "04 fde9 005a 00000001 02 02 04"));
        assertFault(ErrorCode.OPEN_UNSPECIFIC, message(1, "04 fde9 005a 00000001 04 02 02 41 04"));
        assertFault(ErrorCode.OPTIONAL_PARAMETER, message(1, "04 fde9 005a 00000001 02 01 00"));
        assertFault(ErrorCode.BAD_AS, message(1, "04 0000 005a 00000001 00"));
        assertFault(ErrorCode.BAD_AS, message(1, "04 5ba0 005a 00000001 08 02 06 41 04 00000000"));
    }

    private static ReceivedUpdate readUpdate(String body) throws BgpException {
        return (ReceivedUpdate) read(message(2, body), true);
    }

    @Test
    void updateErrorsAreTreatedAsWithdrawalIfTheRestCanBeParsed() throws BgpException {
        String nlri = " 20 0a090807";
        String valid = "40 01 01 00 40 02 06 02 01 0000fde9 40 03 04 0a000001";
        assertEquals(new ReceivedUpdate(1, 0, null), readUpdate("0000 0014" + valid + nlri));
        for (String attributes : new String[] {
            "40 01 01 03 40 02 06 02 01 0000fde9 40 03 04 0a000001", "40 01 02 0000 40 02 06 02 01 0000fde9 40 03 04 0a000001",
            "c0 01 01 00 40 02 06 02 01 0000fde9 40 03 04 0a000001", "40 01 01 00 40 02 06 02 02 0000fde9 40 03 04 0a000001",
            "40 01 01 00 40 02 06 05 01 0000fde9 40 03 04 0a000001", "40 01 01 00 40 02 06 02 01 0000fde9 40 03 03 0a0000",
            "40 01 01 00 40 02 06 02 01 0000fde9", "40 02 06 02 01 0000fde9 40 03 04 0a000001", "40 01 01 00 40 03 04 0a000001",
            valid + "c0 08 03 000000", valid + "80 04 05 0000000000", valid + "40 05", valid + "40 05 ff 00"}) {
            String length = "%04x".formatted(hex(attributes).length);
            ReceivedUpdate update = readUpdate("0000" + length + attributes + nlri);
            assertEquals(1, update.withdrawn(), attributes);
            assertEquals(0, update.announced(), attributes);
            assertTrue(update.fault() != null, attributes);
        }
    }

    @Test
    void updateErrorsThatPreventParsingEndTheSession() {
        assertFault(ErrorCode.ATTRIBUTE_LIST, message(2, "0005 0000"));
        assertFault(ErrorCode.ATTRIBUTE_LIST, message(2, "0000 0005"));
        assertFault(ErrorCode.NETWORK_FIELD, message(2, "0000 0000 21 0a090807"));
        assertFault(ErrorCode.NETWORK_FIELD, message(2, "0000 0000 20 0a09"));
        assertFault(ErrorCode.NETWORK_FIELD, message(2, "0002 21 00 0000"));
        assertFault(ErrorCode.OPTIONAL_ATTRIBUTE, message(2, "0000 0005 80 0e 02 0002"));
        assertFault(ErrorCode.OPTIONAL_ATTRIBUTE, message(2, "0000 0008 80 0e 05 0002 01 40 00"));
        assertFault(ErrorCode.OPTIONAL_ATTRIBUTE, message(2, "0000 0004 80 0f 01 00"));
        assertFault(ErrorCode.WELL_KNOWN_UNKNOWN, message(2, "0000 0003 40 63 00"));
        assertFault(ErrorCode.ATTRIBUTE_LIST, message(2, "0000 000c 80 0f 03 000201 80 0f 03 000201"));
    }

    /**
     * 100,000 messages with bytes changed or cut off or added: each is decoded, found incomplete, or rejected with a
     * NOTIFICATION; no other exception may escape.
     */
    @Test
    void noInputMakesTheReaderThrowAnotherException() {
        List<byte[]> seeds = List.of(ByteBufUtil.getBytes(MessageWriter.write(new Open(4, 70000, 90, 7, Capabilities.OWN), true)),
            message(2, "0005 20 0a090807 0014 40 01 01 00 40 02 06 02 01 0000fde9 40 03 04 0a000001 20 0a090807"),
            ByteBufUtil.getBytes(MessageWriter.write(new Update(List.of(IPV6), List.of(IPV6),
                new PathAttributes(List.of(1L), new byte[16], 1L, 2L, List.of(3))), true)),
            message(3, "06 02 00"), message(5, "0001 00 01"));
        Random random = new Random(11);
        int read = 0;
        int refused = 0;
        for (int i = 0; i < 100_000; i++) {
            byte[] bytes = seeds.get(i % seeds.size()).clone();
            for (int j = random.nextInt(4); j >= 0; j--) {
                bytes[16 + random.nextInt(bytes.length - 16)] = (byte) random.nextInt(256);
            }
            if (random.nextInt(4) == 0) {
                bytes = java.util.Arrays.copyOf(bytes, random.nextInt(bytes.length + 8));
            }
            try {
                read += read(bytes, random.nextBoolean()) == null ? 0 : 1;
            } catch (BgpException e) {
                refused++;
            }
        }
        assertTrue(read > 10_000 && refused > 10_000, read + " read, " + refused + " refused");
    }

    @Test
    void prefixesIgnoreBitsBeyondTheirLength() {
        assertEquals(new Prefix(new byte[] {10, 9, 8, 7}, 20), new Prefix(new byte[] {10, 9, 15, 99}, 20));
        assertEquals("10.9.0.0/20", new Prefix(new byte[] {10, 9, 15, 99}, 20).toString());
        assertEquals("2001:db8:0:0:0:0:0:0/64", IPV6.toString());
        assertThrows(IllegalArgumentException.class, () -> new Prefix(new byte[4], 33));
        assertThrows(IllegalArgumentException.class, () -> new Prefix(new byte[5], 8));
    }
}
