package onyxpaddle.rpc;

import io.netty.buffer.ByteBuf;

/**
 * Finds where one value ends, over any split of its bytes, and holds none of them. What a head claims (bytes, items) is
 * checked against the room left before anything relies on it; the memory it needs is that of its deepest nesting.
 * Formats by the MessagePack specification, "Formats"; 0xc1 is none.
 */
final class MsgPackScanner {
    private enum Claim { BYTES, EXTENSION, ITEMS, PAIRS }

    /** Items still to come at each depth; at 0 the value itself. */
    private final long[] left;
    private int depth;
    private boolean ended = true;
    /** Bytes of the item at hand that mean nothing here. */
    private long skip;
    private Claim claim;
    private int lengthBytes;
    private long length;
    private long room;

    /** {@code deepest}: the most arrays and maps within each other. */
    MsgPackScanner(int deepest) {
        left = new long[deepest + 1];
    }

    /** A new value begins, which may have so many bytes. */
    void begin(long most) {
        depth = 0;
        left[0] = 1;
        ended = false;
        skip = 0;
        lengthBytes = 0;
        room = most;
    }

    boolean ended() {
        return ended;
    }

    /** How many more bytes the value may have. */
    long room() {
        return room;
    }

    /** Goes on from index {@code at}; returns the index after what was taken, which is {@code end} unless the value has ended. */
    int scan(ByteBuf in, int at, int end) throws FormatException {
        int next = at;
        while (next < end && !ended) {
            if (skip > 0) {
                int count = (int) Math.min(skip, end - next);
                skip -= count;
                room -= count;
                next += count;
                if (skip == 0) {
                    itemEnded();
                }
                continue;
            }
            if (--room < 0) {
                throw new FormatException("the frame is longer than allowed");
            }
            int b = in.getByte(next++) & 0xff;
            if (lengthBytes > 0) {
                length = length << 8 | b;
                if (--lengthBytes == 0) {
                    claimed();
                }
            } else {
                format(b);
            }
        }
        return next;
    }

    private void format(int b) throws FormatException {
        if (b < 0x80 || b >= 0xe0) {
            itemEnded();
        } else if (b < 0x90) {
            items(2L * (b & 0x0f));
        } else if (b < 0xa0) {
            items(b & 0x0f);
        } else if (b < 0xc0) {
            bytes(b & 0x1f);
        } else {
            switch (b) {
                case 0xc0, 0xc2, 0xc3 -> itemEnded();
                case 0xc4, 0xd9 -> length(Claim.BYTES, 1);
                case 0xc5, 0xda -> length(Claim.BYTES, 2);
                case 0xc6, 0xdb -> length(Claim.BYTES, 4);
                case 0xc7 -> length(Claim.EXTENSION, 1);
                case 0xc8 -> length(Claim.EXTENSION, 2);
                case 0xc9 -> length(Claim.EXTENSION, 4);
                case 0xcc, 0xd0 -> bytes(1);
                case 0xcd, 0xd1, 0xd4 -> bytes(2);
                case 0xd5 -> bytes(3);
                case 0xca, 0xce, 0xd2 -> bytes(4);
                case 0xd6 -> bytes(5);
                case 0xcb, 0xcf, 0xd3 -> bytes(8);
                case 0xd7 -> bytes(9);
                case 0xd8 -> bytes(17);
                case 0xdc -> length(Claim.ITEMS, 2);
                case 0xdd -> length(Claim.ITEMS, 4);
                case 0xde -> length(Claim.PAIRS, 2);
                case 0xdf -> length(Claim.PAIRS, 4);
                default -> throw new FormatException("0xc1 begins no value");
            }
        }
    }

    private void length(Claim of, int count) {
        claim = of;
        lengthBytes = count;
        length = 0;
    }

    private void claimed() throws FormatException {
        switch (claim) {
            case BYTES -> bytes(length);
            case EXTENSION -> bytes(length + 1);
            case ITEMS -> items(length);
            case PAIRS -> items(2 * length);
        }
    }

    private void bytes(long count) throws FormatException {
        if (count > room) {
            throw new FormatException("a value claims " + count + " bytes where " + room + " are allowed");
        }
        skip = count;
        if (count == 0) {
            itemEnded();
        }
    }

    private void items(long count) throws FormatException {
        if (count > room) {
            throw new FormatException(count + " items are claimed where " + room + " bytes are allowed");
        }
        if (count == 0) {
            itemEnded();
        } else if (depth + 1 == left.length) {
            throw new FormatException("arrays and maps lie within each other more than " + depth + " deep");
        } else {
            left[++depth] = count;
        }
    }

    private void itemEnded() {
        while (--left[depth] == 0) {
            if (depth == 0) {
                ended = true;
                return;
            }
            depth--;
        }
    }
}
