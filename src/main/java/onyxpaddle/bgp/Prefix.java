package onyxpaddle.bgp;

import java.util.Arrays;

/**
 * An address prefix of IPv4 or IPv6, as a BGP message writes it: the length in bits, and as many octets as that needs
 * (RFC 4271, 4.3). Bits behind the length are zero.
 */
public final class Prefix implements Comparable<Prefix> {
    private final boolean six;
    private final int bits;
    private final byte[] octets;

    /** {@code address}: 4 or 16 octets; bits behind {@code bits} are taken for zero. Throws where the length is out of range. */
    public Prefix(byte[] address, int bits) {
        six = address.length == 16;
        if (address.length != 4 && !six || bits < 0 || bits > 8 * address.length) {
            throw new IllegalArgumentException("no prefix: " + address.length + " octets, " + bits + " bits");
        }
        this.bits = bits;
        octets = Arrays.copyOf(Arrays.copyOf(address, (bits + 7) / 8), address.length);
        if (bits % 8 != 0) {
            octets[bits / 8] &= (byte) (0xff << 8 - bits % 8);
        }
    }

    public boolean six() {
        return six;
    }

    public int bits() {
        return bits;
    }

    /** As many octets as the length needs. */
    public byte[] written() {
        return Arrays.copyOf(octets, (bits + 7) / 8);
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof Prefix p && six == p.six && bits == p.bits && Arrays.equals(octets, p.octets);
    }

    @Override
    public int hashCode() {
        return 31 * Arrays.hashCode(octets) + bits;
    }

    @Override
    public int compareTo(Prefix other) {
        int family = Boolean.compare(six, other.six);
        int address = family != 0 ? family : Arrays.compareUnsigned(octets, other.octets);
        return address != 0 ? address : Integer.compare(bits, other.bits);
    }

    @Override
    public String toString() {
        StringBuilder text = new StringBuilder();
        for (int i = 0; i < octets.length; i += six ? 2 : 1) {
            text.append(i == 0 ? "" : six ? ":" : ".");
            text.append(six ? Integer.toHexString((octets[i] & 0xff) << 8 | octets[i + 1] & 0xff) : octets[i] & 0xff);
        }
        return text.append('/').append(bits).toString();
    }
}
