package onyxpaddle.rpc;

import io.netty.buffer.ByteBuf;

/**
 * Finds the end of a value that arrives in pieces, without buffering any of it. Lengths and item counts are checked
 * against the bytes that the value may still have before they are used; the memory needed depends only on the nesting
 * depth. The formats are those of the MessagePack specification, section "Formats"; 0xc1 is not used there.
 */
final class MsgPackScanner {
    private enum LengthKind { DATA, EXTENSION, ITEMS, PAIRS }

    /** Items still to come at each nesting depth; index 0 is the value itself. */
    private final long[] itemsLeft;
    private int depth;
    private boolean ended = true;
    /** Bytes of the current item whose content is irrelevant here. */
    private long dataLeft;
    private LengthKind lengthKind;
    private int lengthBytesLeft;
    private long length;
    private long bytesLeft;

    MsgPackScanner(int maxDepth) {
        itemsLeft = new long[maxDepth + 1];
    }

    /** Starts a new value of at most {@code maxBytes} bytes. */
    void begin(long maxBytes) {
        depth = 0;
        itemsLeft[0] = 1;
        ended = false;
        dataLeft = 0;
        lengthBytesLeft = 0;
        bytesLeft = maxBytes;
    }

    boolean ended() {
        return ended;
    }

    /** How many more bytes the value may have. */
    long bytesLeft() {
        return bytesLeft;
    }

    /**
     * Continues at {@code index}. Returns the index after the last byte consumed, which is {@code end} unless the
     * value has ended.
     */
    int scan(ByteBuf in, int index, int end) throws FormatException {
        int next = index;
        while (next < end && !ended) {
            if (dataLeft > 0) {
                int count = (int) Math.min(dataLeft, end - next);
                dataLeft -= count;
                bytesLeft -= count;
                next += count;
                if (dataLeft == 0) {
                    itemEnded();
                }
                continue;
            }
            if (--bytesLeft < 0) {
                throw new FormatException("frame exceeds the size limit");
            }
            int b = in.getByte(next++) & 0xff;
            if (lengthBytesLeft > 0) {
                length = length << 8 | b;
                if (--lengthBytesLeft == 0) {
                    lengthRead();
                }
            } else {
                readFormat(b);
            }
        }
        return next;
    }

    private void readFormat(int b) throws FormatException {
        if (b < 0x80 || b >= 0xe0) {
            itemEnded();
        } else if (b < 0x90) {
            beginItems(2L * (b & 0x0f));
        } else if (b < 0xa0) {
            beginItems(b & 0x0f);
        } else if (b < 0xc0) {
            beginData(b & 0x1f);
        } else {
            switch (b) {
                case 0xc0, 0xc2, 0xc3 -> itemEnded();
                case 0xc4, 0xd9 -> beginLength(LengthKind.DATA, 1);
                case 0xc5, 0xda -> beginLength(LengthKind.DATA, 2);
                case 0xc6, 0xdb -> beginLength(LengthKind.DATA, 4);
                case 0xc7 -> beginLength(LengthKind.EXTENSION, 1);
                case 0xc8 -> beginLength(LengthKind.EXTENSION, 2);
                case 0xc9 -> beginLength(LengthKind.EXTENSION, 4);
                case 0xcc, 0xd0 -> beginData(1);
                case 0xcd, 0xd1, 0xd4 -> beginData(2);
                case 0xd5 -> beginData(3);
                case 0xca, 0xce, 0xd2 -> beginData(4);
                case 0xd6 -> beginData(5);
                case 0xcb, 0xcf, 0xd3 -> beginData(8);
                case 0xd7 -> beginData(9);
                case 0xd8 -> beginData(17);
                case 0xdc -> beginLength(LengthKind.ITEMS, 2);
                case 0xdd -> beginLength(LengthKind.ITEMS, 4);
                case 0xde -> beginLength(LengthKind.PAIRS, 2);
                case 0xdf -> beginLength(LengthKind.PAIRS, 4);
                default -> throw new FormatException("0xc1 is not a valid format");
            }
        }
    }

    private void beginLength(LengthKind kind, int count) {
        lengthKind = kind;
        lengthBytesLeft = count;
        length = 0;
    }

    private void lengthRead() throws FormatException {
        switch (lengthKind) {
            case DATA -> beginData(length);
            case EXTENSION -> beginData(length + 1);
            case ITEMS -> beginItems(length);
            case PAIRS -> beginItems(2 * length);
        }
    }

    private void beginData(long count) throws FormatException {
        if (count > bytesLeft) {
            throw new FormatException("value of " + count + " bytes exceeds the " + bytesLeft + " bytes left");
        }
        dataLeft = count;
        if (count == 0) {
            itemEnded();
        }
    }

    private void beginItems(long count) throws FormatException {
        if (count > bytesLeft) {
            throw new FormatException(count + " items do not fit in the " + bytesLeft + " bytes left");
        }
        if (count == 0) {
            itemEnded();
        } else if (depth + 1 == itemsLeft.length) {
            throw new FormatException("arrays and maps are nested more than " + depth + " levels deep");
        } else {
            itemsLeft[++depth] = count;
        }
    }

    private void itemEnded() {
        while (--itemsLeft[depth] == 0) {
            if (depth == 0) {
                ended = true;
                return;
            }
            depth--;
        }
    }
}
