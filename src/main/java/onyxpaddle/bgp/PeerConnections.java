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
import onyxpaddle.bgp.BgpMessage.ReceivedUpdate;
import onyxpaddle.bgp.BgpMessage.Keepalive;
import onyxpaddle.bgp.BgpMessage.Notification;
import onyxpaddle.bgp.BgpMessage.Open;
import onyxpaddle.bgp.BgpMessage.RouteRefresh;
import onyxpaddle.bgp.BgpMessage.Update;
import onyxpaddle.bgp.Fsm.Action;
import onyxpaddle.bgp.Fsm.Dial;
import onyxpaddle.bgp.Fsm.SessionDown;
import onyxpaddle.bgp.Fsm.Drop;
import onyxpaddle.bgp.Fsm.Event;
import onyxpaddle.bgp.Fsm.Send;
import onyxpaddle.bgp.Fsm.SessionUp;
import onyxpaddle.bgp.Peering.Connection;
import onyxpaddle.bgp.Peering.ConnectionAction;
import onyxpaddle.node.Log;

/**
 * The connections to one peer. Protects the event loop from a peer that floods: the number of messages read per tick is limited,
 * and received routes are counted but not stored. This is meant to bound the load at any rate and message size; the drawback is that a peer
 * which announces more than a few thousand routes per second may end the session because it is read slowly.
 */
final class PeerConnections {
    private static final int MAX_MESSAGES_PER_TICK = 100;
    /** A connection is half closed after the last message, and closed when the peer closes its side or after this time. */
    private static final long CLOSE_TIMEOUT_MS = 500;

    private final Speaker speaker;
    private final Speaker.PeerSettings settings;
    private final Peering peering;
    private final Set<Channel> closing = new HashSet<>();
    private Channel primary;
    private Channel secondary;
    private ChannelFuture pendingConnect;
    private AnnouncePolicy.Peer announcing;
    private long receivedPrefixes;
    private long updatesSent;

    PeerConnections(Speaker speaker, Speaker.PeerSettings settings, long seed, int failures) {
        this.speaker = speaker;
        this.settings = settings;
        peering = new Peering(settings.fsm(), seed);
        peering.restoreFailures(failures);
    }

    Speaker.PeerSettings settings() {
        return settings;
    }

    /** The peer as passed to the policies; null while no session is established. */
    AnnouncePolicy.Peer announcing() {
        return announcing;
    }

    Speaker.PeerStatus status() {
        return new Speaker.PeerStatus(settings.name(), peering.state(), peering.failures(), receivedPrefixes, updatesSent);
    }

    boolean closed() {
        return primary == null && secondary == null && closing.isEmpty();
    }

    void start() {
        execute(peering.start(speaker.clock.now()));
    }

    void stop(Notification reason) {
        execute(peering.stop(reason, speaker.clock.now()));
    }

    void tick(long now) {
        if (now >= peering.due()) {
            execute(peering.timers(now));
        }
        for (Channel channel : new Channel[] {primary, secondary}) {
            if (channel != null && channel.pipeline().last() instanceof MessageHandler messages) {
                messages.resume();
            }
        }
    }

    void update(Update update) {
        if (primary != null && announcing != null) {
            updatesSent++;
            write(Connection.PRIMARY, primary, update);
        }
    }

    void accepted(SocketChannel channel) {
        Connection connection = peering.accepts();
        if (connection == null) {
            channel.close();
            return;
        }
        channel.pipeline().addLast(new MessageHandler());
        if (connection == Connection.PRIMARY) {
            cancelConnect();
            primary = channel;
        } else {
            secondary = channel;
        }
        execute(peering.accepted(connection, speaker.clock.now()));
    }

    // ---- actions ----

    /** Performs the actions. They name connections by their roles before a swap that the same call may have made. */
    private void execute(List<ConnectionAction> actions) {
        List<ConnectionAction> all = List.copyOf(actions);
        boolean swapped = peering.swapped();
        Channel first = primary;
        Channel second = secondary;
        if (swapped) {
            primary = second;
            secondary = null;
        }
        for (ConnectionAction connectionAction : all) {
            Action action = connectionAction.action();
            Channel channel = connectionAction.connection() == Connection.PRIMARY ? first : second;
            if (action instanceof Send send) {
                if (channel != null) {
                    write(connectionAction.connection(), channel, send.message());
                }
            } else if (action instanceof Drop) {
                drop(channel);
            } else if (action instanceof Dial) {
                dial();
            } else if (action instanceof SessionUp sessionUp) {
                sessionUp(sessionUp);
            } else if (action instanceof SessionDown sessionDown) {
                sessionDown(sessionDown.reason());
            }
        }
    }

    private void write(Connection connection, Channel channel, BgpMessage message) {
        Open peerOpen = peering.peer();
        boolean fourOctetAs = peerOpen != null && peerOpen.capabilities().fourOctetAs();
        channel.writeAndFlush(MessageWriter.write(message, fourOctetAs)).addListener(f -> {
            if (f.isSuccess()) {
                peering.writeCompleted(channel == primary ? Connection.PRIMARY : connection, speaker.clock.now());
            }
        });
    }

    private void drop(Channel channel) {
        cancelConnect();
        if (channel == null) {
            return;
        }
        primary = channel == primary ? null : primary;
        secondary = channel == secondary ? null : secondary;
        closing.add(channel);
        channel.closeFuture().addListener(f -> closing.remove(channel));
        // Closing with unread input would reset the connection and could lose the NOTIFICATION.
        ((SocketChannel) channel).shutdownOutput();
        channel.config().setAutoRead(true);
        speaker.loop.schedule(() -> channel.close(), CLOSE_TIMEOUT_MS, TimeUnit.MILLISECONDS);
    }

    private void cancelConnect() {
        if (pendingConnect != null) {
            pendingConnect.channel().close();
            pendingConnect = null;
        }
    }

    private void dial() {
        cancelConnect();
        MessageHandler messages = new MessageHandler();
        ChannelFuture dial = speaker.dial(settings, new ChannelInitializer<>() {
            @Override
            protected void initChannel(SocketChannel channel) {
                channel.pipeline().addLast(messages);
            }
        });
        pendingConnect = dial;
        dial.addListener(f -> {
            if (pendingConnect != dial) {
                dial.channel().close();
                return;
            }
            pendingConnect = null;
            if (f.isSuccess()) {
                primary = dial.channel();
                execute(peering.connected(speaker.clock.now()));
            } else {
                execute(peering.handle(Connection.PRIMARY, Event.TCP_CONNECTION_FAILS, null, speaker.clock.now()));
            }
        });
    }

    private void sessionUp(SessionUp sessionUp) {
        Log.line("bgp: session with " + settings.name() + " established, hold time " + sessionUp.holdTime() + " s");
        receivedPrefixes = 0;
        boolean internal = settings.fsm().as() == settings.fsm().peerAs();
        announcing = new AnnouncePolicy.Peer(settings.name(), settings.fsm().as(), internal,
            sessionUp.peer().capabilities().ipv4() ? settings.nextHop4() : null,
            sessionUp.peer().capabilities().ipv6() ? settings.nextHop6() : null);
        speaker.sessionEstablished(announcing);
    }

    private void sessionDown(String reason) {
        if (announcing != null) {
            Log.line("bgp: session with " + settings.name() + " ended: " + reason);
            announcing = null;
            speaker.sessionEnded(settings.name());
        }
    }

    // ---- input ----

    private Connection connectionOf(Channel channel) {
        return channel == primary ? Connection.PRIMARY : channel == secondary ? Connection.SECONDARY : null;
    }

    private void dispatch(Channel channel, BgpMessage message) {
        Connection connection = connectionOf(channel);
        if (connection == null) {
            return;
        }
        Event event = message instanceof Open ? Event.BGP_OPEN : message instanceof Keepalive ? Event.KEEPALIVE_MSG
            : message instanceof Notification n ? n.code() == 2 && n.subcode() == 1 ? Event.NOTIF_MSG_VER_ERR : Event.NOTIF_MSG
            : Event.UPDATE_MSG;
        execute(peering.handle(connection, event, message, speaker.clock.now()));
        if (announcing != null && message instanceof ReceivedUpdate update) {
            countPrefixes(update);
        } else if (announcing != null && message instanceof RouteRefresh) {
            speaker.refresh(settings.name());
        }
    }

    /** Counts announcements minus withdrawals. As no prefixes are stored, one that is announced again counts again. */
    private void countPrefixes(ReceivedUpdate update) {
        receivedPrefixes = Math.max(0, receivedPrefixes + update.announced() - update.withdrawn());
        if (update.fault() != null) {
            Log.line("bgp: " + settings.name() + " sent an invalid UPDATE, treated as a withdrawal: " + update.fault());
        }
        if (receivedPrefixes > settings.maxPrefixes()) {
            Log.line("bgp: " + settings.name() + " announces more than the maximum of " + settings.maxPrefixes() + " prefixes");
            execute(peering.reset(new Notification(ErrorCode.MAX_PREFIXES), speaker.clock.now()));
        }
    }

    /** Splits the input into messages and dispatches at most {@link #MAX_MESSAGES_PER_TICK} of them per tick. */
    private final class MessageHandler extends ChannelInboundHandlerAdapter {
        private final ByteBuf buffer = Unpooled.buffer(256, BgpMessage.MAX_LENGTH + 2 * 2048);
        private ChannelHandlerContext context;
        private int remaining = MAX_MESSAGES_PER_TICK;
        private boolean finished;

        @Override
        public void handlerAdded(ChannelHandlerContext added) {
            context = added;
        }

        @Override
        public void channelRead(ChannelHandlerContext from, Object message) {
            ByteBuf in = (ByteBuf) message;
            try {
                if (!finished) {
                    buffer.discardReadBytes();
                    buffer.writeBytes(in);
                }
            } finally {
                in.release();
            }
            read();
        }

        private void read() {
            try {
                while (!finished && remaining > 0) {
                    finished |= connectionOf(context.channel()) == null;
                    int length = finished ? -1 : MessageReader.length(buffer);
                    if (length < 0 || length > buffer.readableBytes()) {
                        break;
                    }
                    remaining--;
                    Open peerOpen = peering.peer();
                    dispatch(context.channel(), MessageReader.read(buffer.readSlice(length),
                        peerOpen != null && peerOpen.capabilities().fourOctetAs()));
                }
            } catch (BgpException e) {
                finished = true;
                Connection connection = connectionOf(context.channel());
                if (connection != null) {
                    execute(peering.handle(connection, Event.MESSAGE_ERROR, e.notification(), speaker.clock.now()));
                }
            }
            // Bounds the buffered data to less than one message and two reads.
            context.channel().config().setAutoRead(finished || remaining > 0);
        }

        void resume() {
            boolean paused = remaining == 0;
            remaining = MAX_MESSAGES_PER_TICK;
            if (paused) {
                read();
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext from) {
            finished = true;
            buffer.release();
            Connection connection = connectionOf(from.channel());
            if (connection != null) {
                primary = connection == Connection.PRIMARY ? null : primary;
                secondary = connection == Connection.SECONDARY ? null : secondary;
                execute(peering.handle(connection, Event.TCP_CONNECTION_FAILS, null, speaker.clock.now()));
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext from, Throwable cause) {
            if (!(cause instanceof IOException)) {
                Log.failure("bgp peer " + settings.name(), cause);
            }
            from.close();
        }
    }
}
