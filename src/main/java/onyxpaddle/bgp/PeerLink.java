package onyxpaddle.bgp;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.socket.SocketChannel;
import java.io.IOException;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import onyxpaddle.bgp.BgpMessage.Heard;
import onyxpaddle.bgp.BgpMessage.Keepalive;
import onyxpaddle.bgp.BgpMessage.Notification;
import onyxpaddle.bgp.BgpMessage.Open;
import onyxpaddle.bgp.BgpMessage.RouteRefresh;
import onyxpaddle.bgp.BgpMessage.Update;
import onyxpaddle.bgp.Fsm.Action;
import onyxpaddle.bgp.Fsm.Dial;
import onyxpaddle.bgp.Fsm.Down;
import onyxpaddle.bgp.Fsm.Drop;
import onyxpaddle.bgp.Fsm.Event;
import onyxpaddle.bgp.Fsm.Send;
import onyxpaddle.bgp.Fsm.Up;
import onyxpaddle.bgp.Peering.Link;
import onyxpaddle.bgp.Peering.Order;
import onyxpaddle.node.Log;

/**
 * One peer's connections. Guards the node's loop against a peer that floods: so many messages are read in each tick, and what
 * it announces is counted, not kept. It should cover any rate and size; it does harm where a peer announces more than some
 * thousand routes a second and ends its session for being read slowly.
 */
final class PeerLink {
    private static final int MOST_MESSAGES = 100;
    /** After the last message a connection is half closed, and closed when the peer has done so too, or after this. */
    private static final long LINGER_MS = 500;

    private final Speaker speaker;
    private final Speaker.PeerSettings terms;
    private final Peering peering;
    private final Set<Channel> leaving = new HashSet<>();
    private Channel main;
    private Channel other;
    private ChannelFuture dialling;
    private AnnouncePolicy.Peer announcing;
    private long heard;
    private long updatesSent;

    PeerLink(Speaker speaker, Speaker.PeerSettings terms, long seed, int failures) {
        this.speaker = speaker;
        this.terms = terms;
        peering = new Peering(terms.fsm(), seed);
        peering.recall(failures);
    }

    Speaker.PeerSettings terms() {
        return terms;
    }

    /** The peer, as policies are told of it; null while no session stands. */
    AnnouncePolicy.Peer announcing() {
        return announcing;
    }

    Speaker.PeerStatus status() {
        return new Speaker.PeerStatus(terms.name(), peering.state(), peering.failures(), heard, updatesSent);
    }

    boolean closed() {
        return main == null && other == null && leaving.isEmpty();
    }

    void start() {
        carryOut(peering.start(speaker.clock.now()));
    }

    void stop(Notification reason) {
        carryOut(peering.stop(reason, speaker.clock.now()));
    }

    void tick(long now) {
        if (now >= peering.due()) {
            carryOut(peering.timers(now));
        }
        for (Channel channel : new Channel[] {main, other}) {
            if (channel != null && channel.pipeline().last() instanceof Messages messages) {
                messages.goOn();
            }
        }
    }

    void update(Update update) {
        if (main != null && announcing != null) {
            updatesSent++;
            write(Link.MAIN, main, update);
        }
    }

    void accepted(SocketChannel channel) {
        Link link = peering.accepts();
        if (link == null) {
            channel.close();
            return;
        }
        channel.pipeline().addLast(new Messages());
        if (link == Link.MAIN) {
            giveUpDialling();
            main = channel;
        } else {
            other = channel;
        }
        carryOut(peering.accepted(link, speaker.clock.now()));
    }

    // ---- orders ----

    /** What is ordered, on the connections that had their names before it. */
    private void carryOut(List<Order> orders) {
        List<Order> all = List.copyOf(orders);
        boolean swapped = peering.swapped();
        Channel first = main;
        Channel second = other;
        if (swapped) {
            main = second;
            other = null;
        }
        for (Order order : all) {
            Action action = order.action();
            Channel channel = order.link() == Link.MAIN ? first : second;
            if (action instanceof Send send) {
                if (channel != null) {
                    write(order.link(), channel, send.message());
                }
            } else if (action instanceof Drop) {
                drop(channel);
            } else if (action instanceof Dial) {
                dial();
            } else if (action instanceof Up up) {
                up(up);
            } else if (action instanceof Down down) {
                down(down.reason());
            }
        }
    }

    private void write(Link link, Channel channel, BgpMessage message) {
        Open open = peering.peer();
        boolean four = open != null && open.capabilities().fourOctetAs();
        channel.writeAndFlush(MessageWriter.write(message, four)).addListener(f -> {
            if (f.isSuccess()) {
                peering.taken(channel == main ? Link.MAIN : link, speaker.clock.now());
            }
        });
    }

    private void drop(Channel channel) {
        giveUpDialling();
        if (channel == null) {
            return;
        }
        main = channel == main ? null : main;
        other = channel == other ? null : other;
        leaving.add(channel);
        channel.closeFuture().addListener(f -> leaving.remove(channel));
        // Closing with bytes unread would reset the connection and take the NOTIFICATION along.
        ((SocketChannel) channel).shutdownOutput();
        channel.config().setAutoRead(true);
        speaker.loop.schedule(() -> channel.close(), LINGER_MS, TimeUnit.MILLISECONDS);
    }

    private void giveUpDialling() {
        if (dialling != null) {
            dialling.channel().close();
            dialling = null;
        }
    }

    private void dial() {
        giveUpDialling();
        Messages messages = new Messages();
        ChannelFuture dial = speaker.dial(terms, new ChannelInitializer<>() {
            @Override
            protected void initChannel(SocketChannel channel) {
                channel.pipeline().addLast(messages);
            }
        });
        dialling = dial;
        dial.addListener(f -> {
            if (dialling != dial) {
                dial.channel().close();
                return;
            }
            dialling = null;
            if (f.isSuccess()) {
                main = dial.channel();
                carryOut(peering.dialled(speaker.clock.now()));
            } else {
                carryOut(peering.happened(Link.MAIN, Event.TCP_CONNECTION_FAILS, null, speaker.clock.now()));
            }
        });
    }

    private void up(Up up) {
        Log.line("bgp: session with " + terms.name() + " stands, hold time " + up.holdTime() + " s");
        heard = 0;
        boolean internal = terms.fsm().as() == terms.fsm().peerAs();
        announcing = new AnnouncePolicy.Peer(terms.name(), terms.fsm().as(), internal,
            up.peer().capabilities().ipv4() ? terms.nextHop4() : null, up.peer().capabilities().ipv6() ? terms.nextHop6() : null);
        speaker.established(announcing);
    }

    private void down(String reason) {
        if (announcing != null) {
            Log.line("bgp: session with " + terms.name() + " ended: " + reason);
            announcing = null;
            speaker.ended(terms.name());
        }
    }

    // ---- what comes ----

    private Link linkOf(Channel channel) {
        return channel == main ? Link.MAIN : channel == other ? Link.OTHER : null;
    }

    private void take(Channel channel, BgpMessage message) {
        Link link = linkOf(channel);
        if (link == null) {
            return;
        }
        Event event = message instanceof Open ? Event.BGP_OPEN : message instanceof Keepalive ? Event.KEEPALIVE_MSG
            : message instanceof Notification n ? n.code() == 2 && n.subcode() == 1 ? Event.NOTIF_MSG_VER_ERR : Event.NOTIF_MSG
            : Event.UPDATE_MSG;
        carryOut(peering.happened(link, event, message, speaker.clock.now()));
        if (announcing != null && message instanceof Heard update) {
            count(update);
        } else if (announcing != null && message instanceof RouteRefresh) {
            speaker.refresh(terms.name());
        }
    }

    /** A prefix announced again counts again, as none is kept: the bound is one of announcements, less withdrawals. */
    private void count(Heard update) {
        heard = Math.max(0, heard + update.announced() - update.withdrawn());
        if (update.fault() != null) {
            Log.line("bgp: " + terms.name() + " announces with a fault, taken as withdrawn: " + update.fault());
        }
        if (heard > terms.mostPrefixes()) {
            Log.line("bgp: " + terms.name() + " announces more than " + terms.mostPrefixes() + " prefixes");
            carryOut(peering.reset(new Notification(ErrorCode.MAX_PREFIXES), speaker.clock.now()));
        }
    }

    /** Cuts what comes into messages, and hands them on at the pace of the ticks. */
    private final class Messages extends ChannelInboundHandlerAdapter {
        private final ByteBuf got = Unpooled.buffer(256, BgpMessage.LARGEST + 2 * 2048);
        private ChannelHandlerContext context;
        private int left = MOST_MESSAGES;
        private boolean over;

        @Override
        public void handlerAdded(ChannelHandlerContext added) {
            context = added;
        }

        @Override
        public void channelRead(ChannelHandlerContext from, Object message) {
            ByteBuf in = (ByteBuf) message;
            try {
                if (!over) {
                    got.discardReadBytes();
                    got.writeBytes(in);
                }
            } finally {
                in.release();
            }
            read();
        }

        private void read() {
            try {
                while (!over && left > 0) {
                    over |= linkOf(context.channel()) == null;
                    int length = over ? -1 : MessageReader.length(got);
                    if (length < 0 || length > got.readableBytes()) {
                        break;
                    }
                    left--;
                    Open open = peering.peer();
                    take(context.channel(), MessageReader.read(got.readSlice(length), open != null && open.capabilities().fourOctetAs()));
                }
            } catch (BgpException e) {
                over = true;
                Link link = linkOf(context.channel());
                if (link != null) {
                    carryOut(peering.happened(link, Event.MESSAGE_ERROR, e.notification(), speaker.clock.now()));
                }
            }
            // What waits is less than a message and two reads.
            context.channel().config().setAutoRead(over || left > 0);
        }

        void goOn() {
            boolean waited = left == 0;
            left = MOST_MESSAGES;
            if (waited) {
                read();
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext from) {
            over = true;
            got.release();
            Link link = linkOf(from.channel());
            if (link != null) {
                main = link == Link.MAIN ? null : main;
                other = link == Link.OTHER ? null : other;
                carryOut(peering.happened(link, Event.TCP_CONNECTION_FAILS, null, speaker.clock.now()));
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext from, Throwable cause) {
            if (!(cause instanceof IOException)) {
                Log.failure("bgp peer " + terms.name(), cause);
            }
            from.close();
        }
    }
}
