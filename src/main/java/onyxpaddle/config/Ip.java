package onyxpaddle.config;

import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Parses numeric IP addresses, prefixes and communities. Never resolves names. */
public final class Ip {
    private static final Pattern PREFIX = Pattern.compile("([0-9A-Fa-f:.]{2,45})/(\\d{1,3})");
    private static final Pattern COMMUNITY = Pattern.compile("(\\d{1,5}):(\\d{1,5})");
    private static final int MAX_UINT16 = 0xffff;

    private Ip() {
    }

    /** Returns 4 or 16 octets, or null if the text is not an address. */
    public static byte[] parse(String text) {
        HostPort parsed = text.length() > 45 ? null : HostPort.parse(text.contains(":") ? "[" + text + "]:0" : text + ":0");
        return parsed == null ? null : text.contains(":") ? six(parsed.host()) : four(parsed.host());
    }

    private static byte[] four(String text) {
        String[] parts = text.split("\\.");
        byte[] octets = new byte[4];
        for (int i = 0; i < 4; i++) {
            octets[i] = (byte) Integer.parseInt(parts[i]);
        }
        return octets;
    }

    /** Parses IPv6 syntax (RFC 4291, 2.2) that {@link HostPort#parse} has validated. */
    private static byte[] six(String text) {
        byte[] octets = new byte[16];
        int gap = text.indexOf("::");
        String[] head = (gap < 0 ? text : text.substring(0, gap)).split(":");
        String[] tail = gap < 0 ? new String[0] : text.substring(gap + 2).split(":");
        groups(octets, head, 0);
        groups(octets, tail, 8 - (tail.length == 1 && tail[0].isEmpty() ? 0 : tail.length));
        return octets;
    }

    private static void groups(byte[] octets, String[] groups, int from) {
        for (int i = 0; i < groups.length && !groups[i].isEmpty(); i++) {
            int group = Integer.parseInt(groups[i], 16);
            octets[2 * (from + i)] = (byte) (group >> 8);
            octets[2 * (from + i) + 1] = (byte) group;
        }
    }

    /** A prefix: an address and the prefix length in bits. */
    public record Range(byte[] address, int bits) {
    }

    /** Returns null if the text is not a prefix or has host bits set. */
    public static Range prefix(String text) {
        Matcher matcher = PREFIX.matcher(text);
        byte[] address = matcher.matches() ? parse(matcher.group(1)) : null;
        if (address == null) {
            return null;
        }
        int bits = Integer.parseInt(matcher.group(2));
        if (bits > 8 * address.length) {
            return null;
        }
        for (int bit = bits; bit < 8 * address.length; bit++) {
            if ((address[bit / 8] >> 7 - bit % 8 & 1) != 0) {
                return null;
            }
        }
        return new Range(address, bits);
    }

    /** Returns null if the text is not a community. */
    public static Integer community(String text) {
        Matcher matcher = COMMUNITY.matcher(text);
        if (!matcher.matches()) {
            return null;
        }
        int high = Integer.parseInt(matcher.group(1));
        int low = Integer.parseInt(matcher.group(2));
        return high > MAX_UINT16 || low > MAX_UINT16 ? null : high << 16 | low;
    }
}
