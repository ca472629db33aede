package onyxpaddle.bgp;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.util.List;
import onyxpaddle.bgp.BgpMessage.Capabilities;
import onyxpaddle.bgp.BgpMessage.Keepalive;
import onyxpaddle.bgp.BgpMessage.Notification;
import onyxpaddle.bgp.BgpMessage.Open;
import onyxpaddle.bgp.BgpMessage.RouteRefresh;
import onyxpaddle.bgp.BgpMessage.Update;

/** Encodes messages (RFC 4271, 4; RFC 4760, 3; RFC 5492, 4; RFC 6793, 4). */
public final class MessageWriter {
    static final int OPEN = 1;
    static final int UPDATE = 2;
    static final int NOTIFICATION = 3;
    static final int KEEPALIVE = 4;
    static final int ROUTE_REFRESH = 5;

    static final int ORIGIN = 1;
    static final int AS_PATH = 2;
    static final int NEXT_HOP = 3;
    static final int MED = 4;
    static final int LOCAL_PREF = 5;
    static final int ATOMIC_AGGREGATE = 6;
    static final int AGGREGATOR = 7;
    static final int COMMUNITIES = 8;
    static final int MP_REACH = 14;
    static final int MP_UNREACH = 15;
    static final int AS4_PATH = 17;

    static final int OPTIONAL = 0x80;
    static final int TRANSITIVE = 0x40;
    static final int EXTENDED = 0x10;
    static final int AS_SEQUENCE = 2;

    private MessageWriter() {
    }

    /**
     * Encodes one message. {@code fourOctet}: the peer supports four-octet AS numbers. Throws if the message would exceed {@link
     * BgpMessage#MAX_LENGTH}, which announcements of this speaker never do.
     */
    public static ByteBuf write(BgpMessage message, boolean fourOctet) {
        ByteBuf out = Unpooled.buffer(64, BgpMessage.MAX_LENGTH);
        for (int i = 0; i < 16; i++) {
            out.writeByte(0xff);
        }
        out.writeShort(0);
        if (message instanceof Open open) {
            out.writeByte(OPEN);
            open(out, open);
        } else if (message instanceof Update update) {
            out.writeByte(UPDATE);
            update(out, update, fourOctet);
        } else if (message instanceof Notification notification) {
            out.writeByte(NOTIFICATION).writeByte(notification.code()).writeByte(notification.subcode())
                .writeBytes(notification.data());
        } else if (message instanceof Keepalive) {
            out.writeByte(KEEPALIVE);
        } else if (message instanceof RouteRefresh refresh) {
            out.writeByte(ROUTE_REFRESH).writeShort(refresh.afi()).writeByte(0).writeByte(refresh.safi());
        } else {
            throw new IllegalArgumentException("cannot encode message: " + message);
        }
        return out.setShort(16, out.writerIndex());
    }

    private static void open(ByteBuf out, Open open) {
        out.writeByte(open.version()).writeShort(open.as() > 0xffff ? BgpMessage.AS_TRANS : (int) open.as())
            .writeShort(open.holdTime()).writeInt((int) open.identifier());
        ByteBuf capabilities = Unpooled.buffer(32);
        Capabilities offered = open.capabilities();
        if (offered.ipv4()) {
            capabilities.writeByte(1).writeByte(4).writeShort(1).writeByte(0).writeByte(1);
        }
        if (offered.ipv6()) {
            capabilities.writeByte(1).writeByte(4).writeShort(2).writeByte(0).writeByte(1);
        }
        if (offered.refresh()) {
            capabilities.writeByte(2).writeByte(0);
        }
        if (offered.fourOctetAs()) {
            capabilities.writeByte(65).writeByte(4).writeInt((int) open.as());
        }
        if (capabilities.isReadable()) {
            out.writeByte(2 + capabilities.readableBytes()).writeByte(2).writeByte(capabilities.readableBytes()).writeBytes(capabilities);
        } else {
            out.writeByte(0);
        }
    }

    private static void update(ByteBuf out, Update update, boolean fourOctet) {
        List<Prefix> withdrawnPrefixes = update.withdrawn();
        List<Prefix> announcedPrefixes = update.announced();
        boolean ipv6 = withdrawnPrefixes.stream().anyMatch(Prefix::ipv6) || announcedPrefixes.stream().anyMatch(Prefix::ipv6);
        ByteBuf withdrawn = Unpooled.buffer();
        if (!ipv6) {
            prefixes(withdrawn, withdrawnPrefixes);
        }
        out.writeShort(withdrawn.readableBytes()).writeBytes(withdrawn);
        ByteBuf attributes = Unpooled.buffer();
        if (ipv6 && !withdrawnPrefixes.isEmpty()) {
            ByteBuf value = Unpooled.buffer().writeShort(2).writeByte(1);
            prefixes(value, withdrawnPrefixes);
            attribute(attributes, OPTIONAL, MP_UNREACH, value);
        }
        if (!announcedPrefixes.isEmpty()) {
            announce(attributes, update.attributes(), ipv6, announcedPrefixes, fourOctet);
        }
        out.writeShort(attributes.readableBytes()).writeBytes(attributes);
        if (!ipv6) {
            prefixes(out, announcedPrefixes);
        }
    }

    private static void announce(ByteBuf out, PathAttributes values, boolean ipv6, List<Prefix> prefixes, boolean fourOctet) {
        if (ipv6) {
            // RFC 7606, 5.1: placed first, so that a receiver finds the prefixes even if a later attribute is malformed.
            ByteBuf reach = Unpooled.buffer().writeShort(2).writeByte(1).writeByte(16).writeBytes(values.nextHop()).writeByte(0);
            prefixes(reach, prefixes);
            attribute(out, OPTIONAL, MP_REACH, reach);
        }
        attribute(out, TRANSITIVE, ORIGIN, Unpooled.buffer().writeByte(0));
        attribute(out, TRANSITIVE, AS_PATH, path(values.asPath(), fourOctet));
        if (!ipv6) {
            attribute(out, TRANSITIVE, NEXT_HOP, Unpooled.wrappedBuffer(values.nextHop()));
        }
        if (values.med() != null) {
            attribute(out, OPTIONAL, MED, Unpooled.buffer().writeInt(values.med().intValue()));
        }
        if (values.localPreference() != null) {
            attribute(out, TRANSITIVE, LOCAL_PREF, Unpooled.buffer().writeInt(values.localPreference().intValue()));
        }
        if (!values.communities().isEmpty()) {
            ByteBuf value = Unpooled.buffer();
            values.communities().forEach(value::writeInt);
            attribute(out, OPTIONAL | TRANSITIVE, COMMUNITIES, value);
        }
        if (!fourOctet && values.asPath().stream().anyMatch(as -> as > 0xffff)) {
            // RFC 6793, 4.2.2: AS4_PATH carries the numbers that do not fit into two octets.
            attribute(out, OPTIONAL | TRANSITIVE, AS4_PATH, path(values.asPath(), true));
        }
    }

    private static ByteBuf path(List<Long> numbers, boolean fourOctet) {
        ByteBuf value = Unpooled.buffer();
        if (!numbers.isEmpty()) {
            value.writeByte(AS_SEQUENCE).writeByte(numbers.size());
            for (long as : numbers) {
                if (fourOctet) {
                    value.writeInt((int) as);
                } else {
                    value.writeShort(as > 0xffff ? BgpMessage.AS_TRANS : (int) as);
                }
            }
        }
        return value;
    }

    private static void attribute(ByteBuf out, int flags, int type, ByteBuf value) {
        int length = value.readableBytes();
        if (length > 255) {
            out.writeByte(flags | EXTENDED).writeByte(type).writeShort(length);
        } else {
            out.writeByte(flags).writeByte(type).writeByte(length);
        }
        out.writeBytes(value);
    }

    private static void prefixes(ByteBuf out, List<Prefix> prefixes) {
        for (Prefix prefix : prefixes) {
            out.writeByte(prefix.bits()).writeBytes(prefix.significantOctets());
        }
    }
}
