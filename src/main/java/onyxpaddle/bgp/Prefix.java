package onyxpaddle.bgp;

import java.util.Arrays;

/**
 * An IPv4 or IPv6 address prefix as encoded in a BGP message: the length in bits and as many octets as it needs (RFC 4271, 4.3).
 * Bits beyond the length are zero.
 */
public final class Prefix implements Comparable<Prefix> {
    private final boolean ipv6;
    private final int bits;
    private final byte[] octets;

    /** {@code address}: 4 or 16 octets; bits beyond {@code bits} are cleared. Throws if a length is out of range. */
    public Prefix(byte[] address, int bits) {
        ipv6 = address.length == 16;
        if (address.length != 4 && !ipv6 || bits < 0 || bits > 8 * address.length) {
            throw new IllegalArgumentException("invalid prefix: " + address.length + " octets, " + bits + " bits");
        }
        this.bits = bits;
        octets = Arrays.copyOf(Arrays.copyOf(address, (bits + 7) / 8), address.length);
        if (bits % 8 != 0) {
            octets[bits / 8] &= (byte) (0xff << 8 - bits % 8);
        }
    }

    public boolean ipv6() {
        return ipv6;
    }

    public int bits() {
        return bits;
    }

    /** The leading octets that hold the prefix, as many as its length needs. */
    public byte[] significantOctets() {
        return Arrays.copyOf(octets, (bits + 7) / 8);
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof Prefix p && ipv6 == p.ipv6 && bits == p.bits && Arrays.equals(octets, p.octets);
    }

    @Override
    public int hashCode() {
        return 31 * Arrays.hashCode(octets) + bits;
    }

    @Override
    public int compareTo(Prefix other) {
        int family = Boolean.compare(ipv6, other.ipv6);
        int address = family != 0 ? family : Arrays.compareUnsigned(octets, other.octets);
        return address != 0 ? address : Integer.compare(bits, other.bits);
    }

    @Override
    public String toString() {
        StringBuilder text = new StringBuilder();
        for (int i = 0; i < octets.length; i += ipv6 ? 2 : 1) {
            text.append(i == 0 ? "" : ipv6 ? ":" : ".");
            text.append(ipv6 ? Integer.toHexString((octets[i] & 0xff) << 8 | octets[i + 1] & 0xff) : octets[i] & 0xff);
        }
        return text.append('/').append(bits).toString();
    }
}
