package onyxpaddle.bgp;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import onyxpaddle.bgp.BgpMessage.Capabilities;
import onyxpaddle.bgp.BgpMessage.ReceivedUpdate;
import onyxpaddle.bgp.BgpMessage.Keepalive;
import onyxpaddle.bgp.BgpMessage.Notification;
import onyxpaddle.bgp.BgpMessage.Open;
import onyxpaddle.bgp.BgpMessage.RouteRefresh;

/**
 * Decodes messages, checking each length before it is used (RFC 4271, 6.1 to 6.3; RFC 7606). An error that ends the session is
 * thrown as a {@link BgpException} with its NOTIFICATION; an error that makes an UPDATE count as a withdrawal is recorded in
 * {@link ReceivedUpdate#fault}.
 */
public final class MessageReader {
    private static final int MIN_OPEN_LENGTH = 29;
    private static final int MIN_UPDATE_LENGTH = 23;
    private static final int MIN_NOTIFICATION_LENGTH = 21;
    private static final int ROUTE_REFRESH_LENGTH = 23;

    private MessageReader() {
    }

    /** Length in bytes of the message at the reader index; -1 if its header is not complete yet. */
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
        boolean validLength = length >= BgpMessage.HEADER && length <= BgpMessage.MAX_LENGTH && switch (type) {
            case MessageWriter.OPEN -> length >= MIN_OPEN_LENGTH;
            case MessageWriter.UPDATE -> length >= MIN_UPDATE_LENGTH;
            case MessageWriter.NOTIFICATION -> length >= MIN_NOTIFICATION_LENGTH;
            case MessageWriter.KEEPALIVE -> length == BgpMessage.HEADER;
            default -> true;
        };
        if (!validLength) {
            throw new BgpException(ErrorCode.BAD_LENGTH, (byte) (length >> 8), (byte) length);
        }
        if (type == MessageWriter.ROUTE_REFRESH && length != ROUTE_REFRESH_LENGTH) {
            // RFC 7313, 5, asks for the message as data; none is sent.
            throw new BgpException(ErrorCode.ROUTE_REFRESH_LENGTH);
        }
        return length;
    }

    /** Decodes the single message in the buffer, including its header, whose length {@link #length} has validated. */
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
        long as4 = -1;
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
            as4 = found >= 0 ? found : as4;
        }
        if (as4 == 0 || as == 0) {
            // RFC 7607: AS 0 is reserved.
            throw new BgpException(ErrorCode.BAD_AS);
        }
        // RFC 4760, 8: a peer that offers no address family capability supports IPv4 only.
        boolean anyFamily = offered[0] || offered[1];
        return new Open(version, as4 >= 0 ? as4 : as, holdTime, identifier,
            new Capabilities(as4 >= 0, offered[0] || !anyFamily, offered[1], offered[2]));
    }

    /** Returns the four-octet AS number, -1 if absent; sets {@code offered}: IPv4, IPv6, route refresh. */
    private static long capabilities(ByteBuf in, boolean[] offered) throws BgpException {
        long as4 = -1;
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
                as4 = value.readUnsignedInt();
            } else if (code == 1 && length == 4 && value.getUnsignedByte(3) == 1) {
                int afi = value.getUnsignedShort(0);
                offered[0] |= afi == 1;
                offered[1] |= afi == 2;
            } else if (code == 2) {
                offered[2] = true;
            }
        }
        return as4;
    }

    // ---- UPDATE ----

    /** Counts and first error of an UPDATE while it is decoded. */
    private static final class UpdateState {
        private int announced;
        private int withdrawn;
        private String fault;
        private long seen;

        private void fault(String what) {
            fault = fault == null ? what : fault;
        }
    }

    private static ReceivedUpdate update(ByteBuf in, boolean fourOctet) throws BgpException {
        UpdateState updateState = new UpdateState();
        int withdrawnLength = in.readUnsignedShort();
        if (withdrawnLength > in.readableBytes() - 2) {
            throw new BgpException(ErrorCode.ATTRIBUTE_LIST);
        }
        updateState.withdrawn += prefixes(in.readSlice(withdrawnLength), 32);
        int attributesLength = in.readUnsignedShort();
        if (attributesLength > in.readableBytes()) {
            throw new BgpException(ErrorCode.ATTRIBUTE_LIST);
        }
        ByteBuf attributes = in.readSlice(attributesLength);
        int nlri = prefixes(in, 32);
        updateState.announced += nlri;
        while (attributes.isReadable()) {
            if (!attribute(attributes, updateState, fourOctet)) {
                break;
            }
        }
        if (updateState.announced > 0 && updateState.fault == null) {
            checkMandatory(updateState, nlri > 0);
        }
        return updateState.fault == null ? new ReceivedUpdate(updateState.announced, updateState.withdrawn, null)
            : new ReceivedUpdate(0, updateState.announced + updateState.withdrawn, updateState.fault);
    }

    /** RFC 7606, 3d: a missing mandatory attribute makes the UPDATE count as a withdrawal. */
    private static void checkMandatory(UpdateState updateState, boolean ipv4) {
        long required = 1L << MessageWriter.ORIGIN | 1L << MessageWriter.AS_PATH | (ipv4 ? 1L << MessageWriter.NEXT_HOP : 0);
        if ((updateState.seen & required) != required) {
            updateState.fault("missing well-known attribute");
        }
    }

    /** Reads one attribute; returns false if the remaining ones cannot be parsed (RFC 7606, 4). */
    private static boolean attribute(ByteBuf in, UpdateState updateState, boolean fourOctet) throws BgpException {
        if (in.readableBytes() < 3) {
            updateState.fault("truncated attribute");
            return false;
        }
        int flags = in.readUnsignedByte();
        int type = in.readUnsignedByte();
        boolean extended = (flags & MessageWriter.EXTENDED) != 0;
        if (extended && in.readableBytes() < 2) {
            updateState.fault("truncated attribute");
            return false;
        }
        int length = extended ? in.readUnsignedShort() : in.readUnsignedByte();
        if (length > in.readableBytes()) {
            updateState.fault("attribute longer than the rest of the attributes");
            return false;
        }
        ByteBuf value = in.readSlice(length);
        boolean duplicate = type < 64 && (updateState.seen & 1L << type) != 0;
        if (duplicate && (type == MessageWriter.MP_REACH || type == MessageWriter.MP_UNREACH)) {
            // RFC 7606, 3g: the session is reset.
            throw new BgpException(ErrorCode.ATTRIBUTE_LIST);
        } else if (duplicate) {
            // Further occurrences of any other attribute are ignored.
            return true;
        }
        updateState.seen |= type < 64 ? 1L << type : 0;
        check(type, flags, value, updateState, fourOctet);
        return true;
    }

    private static void check(int type, int flags, ByteBuf value, UpdateState updateState, boolean fourOctet) throws BgpException {
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
            updateState.fault("invalid flags of attribute " + type);
        }
        switch (type) {
            case MessageWriter.ORIGIN -> updateState.fault(length == 1 && value.getUnsignedByte(0) <= 2 ? null : "ORIGIN");
            case MessageWriter.NEXT_HOP, MessageWriter.MED, MessageWriter.LOCAL_PREF ->
                updateState.fault(length == 4 ? null : "invalid length of attribute " + type);
            case MessageWriter.COMMUNITIES -> updateState.fault(length > 0 && length % 4 == 0 ? null : "COMMUNITIES");
            case MessageWriter.AS_PATH -> updateState.fault(path(value, fourOctet ? 4 : 2) ? null : "AS_PATH");
            case MessageWriter.MP_REACH -> mpReach(value, updateState);
            case MessageWriter.MP_UNREACH -> mpUnreach(value, updateState);
            default -> {
                if (expected < 0 && (flags & MessageWriter.OPTIONAL) == 0) {
                    // RFC 4271, 6.3, unchanged by RFC 7606: an unknown well-known attribute cannot be ignored safely.
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

    /** MP_REACH_NLRI (RFC 4760, 3). */
    private static void mpReach(ByteBuf in, UpdateState updateState) throws BgpException {
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
        updateState.announced += prefixes(in, afi == 1 ? 32 : 128);
        updateState.fault(afi == 2 && nextHop != 16 && nextHop != 32 ? "invalid next hop length in MP_REACH_NLRI" : null);
    }

    private static void mpUnreach(ByteBuf in, UpdateState updateState) throws BgpException {
        if (in.readableBytes() < 3) {
            throw new BgpException(ErrorCode.OPTIONAL_ATTRIBUTE);
        }
        int afi = in.readUnsignedShort();
        in.skipBytes(1);
        updateState.withdrawn += prefixes(in, afi == 1 ? 32 : 128);
    }

    /** Counts the prefixes; if one is malformed, the rest cannot be parsed and the session ends (RFC 7606, 5.3). */
    private static int prefixes(ByteBuf in, int maxBits) throws BgpException {
        int count = 0;
        while (in.isReadable()) {
            int bits = in.readUnsignedByte();
            if (bits > maxBits || (bits + 7) / 8 > in.readableBytes()) {
                throw new BgpException(ErrorCode.NETWORK_FIELD);
            }
            in.skipBytes((bits + 7) / 8);
            count++;
        }
        return count;
    }
}
