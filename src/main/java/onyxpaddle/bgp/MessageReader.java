package onyxpaddle.bgp;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import onyxpaddle.bgp.BgpMessage.Capabilities;
import onyxpaddle.bgp.BgpMessage.Heard;
import onyxpaddle.bgp.BgpMessage.Keepalive;
import onyxpaddle.bgp.BgpMessage.Notification;
import onyxpaddle.bgp.BgpMessage.Open;
import onyxpaddle.bgp.BgpMessage.RouteRefresh;

/**
 * Messages from bytes, each length checked before it is believed (RFC 4271, 6.1 to 6.3; RFC 7606). What ends the session is
 * a {@link BgpException} with the NOTIFICATION that says so; what makes an UPDATE one that counts as withdrawn is told in it.
 */
public final class MessageReader {
    private static final int LEAST_OPEN = 29;
    private static final int LEAST_UPDATE = 23;
    private static final int LEAST_NOTIFICATION = 21;
    private static final int REFRESH = 23;

    private MessageReader() {
    }

    /** The length of the message that begins here, in bytes; -1 where its header has not come whole. */
    static int length(ByteBuf in) throws BgpException {
        if (in.readableBytes() < BgpMessage.HEADER) {
            return -1;
        }
        int at = in.readerIndex();
        for (int i = 0; i < 16; i++) {
            if (in.getUnsignedByte(at + i) != 0xff) {
                throw new BgpException(ErrorCode.NOT_SYNCHRONIZED);
            }
        }
        int length = in.getUnsignedShort(at + 16);
        int type = in.getUnsignedByte(at + 18);
        if (type < MessageWriter.OPEN || type > MessageWriter.ROUTE_REFRESH) {
            throw new BgpException(ErrorCode.BAD_TYPE, (byte) type);
        }
        boolean sound = length >= BgpMessage.HEADER && length <= BgpMessage.LARGEST && switch (type) {
            case MessageWriter.OPEN -> length >= LEAST_OPEN;
            case MessageWriter.UPDATE -> length >= LEAST_UPDATE;
            case MessageWriter.NOTIFICATION -> length >= LEAST_NOTIFICATION;
            case MessageWriter.KEEPALIVE -> length == BgpMessage.HEADER;
            default -> true;
        };
        if (!sound) {
            throw new BgpException(ErrorCode.BAD_LENGTH, (byte) (length >> 8), (byte) length);
        }
        if (type == MessageWriter.ROUTE_REFRESH && length != REFRESH) {
            // RFC 7313, 5: with the message as data, as far as it is there.
            throw new BgpException(ErrorCode.ROUTE_REFRESH_LENGTH);
        }
        return length;
    }

    /** The one message that the buffer holds, header and all, as {@link #length} has measured it. */
    static BgpMessage read(ByteBuf message, boolean fourOctet) throws BgpException {
        message.skipBytes(18);
        int type = message.readUnsignedByte();
        return switch (type) {
            case MessageWriter.OPEN -> open(message);
            case MessageWriter.UPDATE -> update(message, fourOctet);
            case MessageWriter.NOTIFICATION -> new Notification(message.readUnsignedByte(), message.readUnsignedByte(),
                ByteBufUtil.getBytes(message));
            case MessageWriter.KEEPALIVE -> new Keepalive();
            default -> {
                int afi = message.readUnsignedShort();
                message.skipBytes(1);
                yield new RouteRefresh(afi, message.readUnsignedByte());
            }
        };
    }

    // ---- OPEN ----

    private static Open open(ByteBuf in) throws BgpException {
        int version = in.readUnsignedByte();
        long as = in.readUnsignedShort();
        int holdTime = in.readUnsignedShort();
        long identifier = in.readUnsignedInt();
        int parameters = in.readUnsignedByte();
        if (parameters != in.readableBytes()) {
            throw new BgpException(ErrorCode.OPEN_UNSPECIFIC);
        }
        boolean[] offered = new boolean[4];
        long four = -1;
        while (in.isReadable()) {
            if (in.readableBytes() < 2) {
                throw new BgpException(ErrorCode.OPEN_UNSPECIFIC);
            }
            int type = in.readUnsignedByte();
            int length = in.readUnsignedByte();
            if (length > in.readableBytes()) {
                throw new BgpException(ErrorCode.OPEN_UNSPECIFIC);
            }
            if (type != 2) {
                throw new BgpException(ErrorCode.OPTIONAL_PARAMETER);
            }
            long found = capabilities(in.readSlice(length), offered);
            four = found >= 0 ? found : four;
        }
        if (four == 0 || as == 0) {
            // RFC 7607: zero is nobody's number.
            throw new BgpException(ErrorCode.BAD_AS);
        }
        // RFC 4760, 8: who says nothing of families means IPv4.
        boolean any = offered[0] || offered[1];
        return new Open(version, four >= 0 ? four : as, holdTime, identifier,
            new Capabilities(four >= 0, offered[0] || !any, offered[1], offered[2]));
    }

    /** The four-octet number, -1 for none; {@code offered}: IPv4, IPv6, refresh. */
    private static long capabilities(ByteBuf in, boolean[] offered) throws BgpException {
        long four = -1;
        while (in.isReadable()) {
            if (in.readableBytes() < 2) {
                throw new BgpException(ErrorCode.OPEN_UNSPECIFIC);
            }
            int code = in.readUnsignedByte();
            int length = in.readUnsignedByte();
            if (length > in.readableBytes()) {
                throw new BgpException(ErrorCode.OPEN_UNSPECIFIC);
            }
            ByteBuf value = in.readSlice(length);
            if (code == 65 && length == 4) {
                four = value.readUnsignedInt();
            } else if (code == 1 && length == 4 && value.getUnsignedByte(3) == 1) {
                int afi = value.getUnsignedShort(0);
                offered[0] |= afi == 1;
                offered[1] |= afi == 2;
            } else if (code == 2) {
                offered[2] = true;
            }
        }
        return four;
    }

    // ---- UPDATE ----

    /** What one UPDATE says, as it is counted. */
    private static final class Counting {
        private int announced;
        private int withdrawn;
        private String fault;
        private long seen;

        private void fault(String what) {
            fault = fault == null ? what : fault;
        }
    }

    private static Heard update(ByteBuf in, boolean fourOctet) throws BgpException {
        Counting counting = new Counting();
        int withdrawnLength = in.readUnsignedShort();
        if (withdrawnLength > in.readableBytes() - 2) {
            throw new BgpException(ErrorCode.ATTRIBUTE_LIST);
        }
        counting.withdrawn += prefixes(in.readSlice(withdrawnLength), 32);
        int attributesLength = in.readUnsignedShort();
        if (attributesLength > in.readableBytes()) {
            throw new BgpException(ErrorCode.ATTRIBUTE_LIST);
        }
        ByteBuf attributes = in.readSlice(attributesLength);
        int nlri = prefixes(in, 32);
        counting.announced += nlri;
        while (attributes.isReadable()) {
            if (!attribute(attributes, counting, fourOctet)) {
                break;
            }
        }
        if (counting.announced > 0 && counting.fault == null) {
            mandatory(counting, nlri > 0);
        }
        return counting.fault == null ? new Heard(counting.announced, counting.withdrawn, null)
            : new Heard(0, counting.announced + counting.withdrawn, counting.fault);
    }

    /** RFC 7606, 3d: what is missing makes it count as withdrawn. */
    private static void mandatory(Counting counting, boolean four) {
        long wanted = 1L << MessageWriter.ORIGIN | 1L << MessageWriter.AS_PATH | (four ? 1L << MessageWriter.NEXT_HOP : 0);
        if ((counting.seen & wanted) != wanted) {
            counting.fault("a well-known attribute is missing");
        }
    }

    /** Reads one attribute; false where the rest cannot be told apart (RFC 7606, 4). */
    private static boolean attribute(ByteBuf in, Counting counting, boolean fourOctet) throws BgpException {
        if (in.readableBytes() < 3) {
            counting.fault("an attribute that breaks off");
            return false;
        }
        int flags = in.readUnsignedByte();
        int type = in.readUnsignedByte();
        boolean extended = (flags & MessageWriter.EXTENDED) != 0;
        if (extended && in.readableBytes() < 2) {
            counting.fault("an attribute that breaks off");
            return false;
        }
        int length = extended ? in.readUnsignedShort() : in.readUnsignedByte();
        if (length > in.readableBytes()) {
            counting.fault("an attribute longer than what is left");
            return false;
        }
        ByteBuf value = in.readSlice(length);
        boolean twice = type < 64 && (counting.seen & 1L << type) != 0;
        if (twice && (type == MessageWriter.MP_REACH || type == MessageWriter.MP_UNREACH)) {
            // RFC 7606, 3g: the session is reset.
            throw new BgpException(ErrorCode.ATTRIBUTE_LIST);
        } else if (twice) {
            // Any other counts the first time only.
            return true;
        }
        counting.seen |= type < 64 ? 1L << type : 0;
        check(type, flags, value, counting, fourOctet);
        return true;
    }

    private static void check(int type, int flags, ByteBuf value, Counting counting, boolean fourOctet) throws BgpException {
        int length = value.readableBytes();
        int expected = switch (type) {
            case MessageWriter.ORIGIN, MessageWriter.AS_PATH, MessageWriter.NEXT_HOP, MessageWriter.LOCAL_PREF,
                MessageWriter.ATOMIC_AGGREGATE -> MessageWriter.TRANSITIVE;
            case MessageWriter.MED, MessageWriter.MP_REACH, MessageWriter.MP_UNREACH -> MessageWriter.OPTIONAL;
            case MessageWriter.COMMUNITIES, MessageWriter.AGGREGATOR, MessageWriter.AS4_PATH ->
                MessageWriter.OPTIONAL | MessageWriter.TRANSITIVE;
            default -> -1;
        };
        if (expected >= 0 && (flags & (MessageWriter.OPTIONAL | MessageWriter.TRANSITIVE)) != expected) {
            counting.fault("flags of attribute " + type);
        }
        switch (type) {
            case MessageWriter.ORIGIN -> counting.fault(length == 1 && value.getUnsignedByte(0) <= 2 ? null : "ORIGIN");
            case MessageWriter.NEXT_HOP, MessageWriter.MED, MessageWriter.LOCAL_PREF ->
                counting.fault(length == 4 ? null : "length of attribute " + type);
            case MessageWriter.COMMUNITIES -> counting.fault(length > 0 && length % 4 == 0 ? null : "COMMUNITIES");
            case MessageWriter.AS_PATH -> counting.fault(path(value, fourOctet ? 4 : 2) ? null : "AS_PATH");
            case MessageWriter.MP_REACH -> reach(value, counting);
            case MessageWriter.MP_UNREACH -> unreach(value, counting);
            default -> {
                if (expected < 0 && (flags & MessageWriter.OPTIONAL) == 0) {
                    // RFC 4271, 6.3, and not changed by 7606: nobody knows what it would mean to pass over it.
                    throw new BgpException(ErrorCode.WELL_KNOWN_UNKNOWN);
                }
            }
        }
    }

    private static boolean path(ByteBuf in, int octets) {
        while (in.isReadable()) {
            if (in.readableBytes() < 2) {
                return false;
            }
            int type = in.readUnsignedByte();
            int count = in.readUnsignedByte();
            if (type < 1 || type > 4 || count == 0 || count * octets > in.readableBytes()) {
                return false;
            }
            in.skipBytes(count * octets);
        }
        return true;
    }

    /** RFC 4760, 3. */
    private static void reach(ByteBuf in, Counting counting) throws BgpException {
        if (in.readableBytes() < 5) {
            throw new BgpException(ErrorCode.OPTIONAL_ATTRIBUTE);
        }
        int afi = in.readUnsignedShort();
        in.skipBytes(1);
        int nextHop = in.readUnsignedByte();
        if (nextHop + 1 > in.readableBytes()) {
            throw new BgpException(ErrorCode.OPTIONAL_ATTRIBUTE);
        }
        in.skipBytes(nextHop + 1);
        counting.announced += prefixes(in, afi == 1 ? 32 : 128);
        counting.fault(afi == 2 && nextHop != 16 && nextHop != 32 ? "next hop of MP_REACH_NLRI" : null);
    }

    private static void unreach(ByteBuf in, Counting counting) throws BgpException {
        if (in.readableBytes() < 3) {
            throw new BgpException(ErrorCode.OPTIONAL_ATTRIBUTE);
        }
        int afi = in.readUnsignedShort();
        in.skipBytes(1);
        counting.withdrawn += prefixes(in, afi == 1 ? 32 : 128);
    }

    /** How many prefixes these bytes are; where they are none, what follows can't be told apart (RFC 7606, 5.3). */
    private static int prefixes(ByteBuf in, int mostBits) throws BgpException {
        int count = 0;
        while (in.isReadable()) {
            int bits = in.readUnsignedByte();
            if (bits > mostBits || (bits + 7) / 8 > in.readableBytes()) {
                throw new BgpException(ErrorCode.NETWORK_FIELD);
            }
            in.skipBytes((bits + 7) / 8);
            count++;
        }
        return count;
    }
}
