package onyxpaddle.rpc;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import onyxpaddle.front.FrontConnection;
import onyxpaddle.node.Answer;
import onyxpaddle.node.Body;
import onyxpaddle.node.Caller;
import onyxpaddle.node.Dispatcher;
import onyxpaddle.node.Exchange;
import onyxpaddle.node.Log;
import onyxpaddle.node.SharedLimit;
import onyxpaddle.node.RequestCounts;
import onyxpaddle.rpc.NodeError.Code;
import onyxpaddle.rpc.RpcCallRouter.Taken;
import onyxpaddle.rpc.RpcDropCounter.Dropped;
import onyxpaddle.socket.PollableChannel;

/**
 * One caller's connection, with many calls open at once, answered as their answers come. It is read no further while it
 * has as many calls open as it may, or leaves answers unread. What is not MessagePack-RPC ends it, after what was taken
 * has been answered.
 */
final class CallerConnection extends ChannelInboundHandlerAdapter implements FrameSink, FrontConnection {
    private static final long SECOND = 1_000_000_000L;
    /** How long a frame may take to come whole, and what a byte adds to that: as for HTTP. */
    private static final long LONGEST_FRAME = 2_400_000_000L;
    private static final long FOR_EACH_BYTE = SECOND / 64_000;
    private static final long LONGEST_UNREAD = 5 * SECOND;
    private static final long LINGER = SECOND;
    private static final int MOST_READ_OFF = 256 * 1024;
    /** Parameters too large are read over up to so many times what is taken, and answered; beyond, the connection ends. */
    private static final int READ_OVER = 4;

    private final RpcFront all;
    private final PollableChannel channel;
    private final FrameDecoder decoder;
    private final Map<Long, OpenCall> open = new HashMap<>();
    private int notices;
    private final ArrayDeque<ByteBuf> ahead = new ArrayDeque<>();
    private boolean reading;
    /** The last answer is given, or will be with the calls that are open: what still comes is read off. */
    private boolean closing;
    private boolean shut;
    private long readOff;
    private long idleSince;
    private long frameSince = -1;
    private int unread;
    private long unreadBytes;
    private long unreadSince;
    /** The call whose parameters come just now; null where they are not wanted. */
    private OpenCall receiving;

    /** A call from its head on; the one that hears its answer. */
    private final class OpenCall implements Caller {
        private final long msgid;
        private final Taken taken;
        private final Exchange exchange;
        private NodeError refusal;

        private OpenCall(long msgid, Taken taken) {
            this.msgid = msgid;
            this.taken = taken;
            exchange = new Exchange(taken.terms(), taken.head(), new Body(taken.target().bytes(), -1,
                taken.target().payload() + 5), this, taken.head().notification() ? 1 : Integer.MAX_VALUE);
        }

        @Override
        public boolean left(boolean unseen) {
            boolean unread = unseen || !channel.config().isAutoRead();
            return unread ? channel.poll() == PollableChannel.PollResult.END : !channel.isActive();
        }

        @Override
        public void served(Answer answer) {
            if (msgid == NOTIFICATION) {
                notices--;
                goOn();
            } else {
                answered(this, answer.body().whole());
            }
        }

        @Override
        public void refused(long retryAfter, Answer own) {
            long millis = retryAfter == 0 ? 0 : Math.max(1, retryAfter / 1_000_000L);
            other(new NodeError(Code.REFUSED, Code.REFUSED.usual, millis), own);
        }

        @Override
        public void failed(boolean late, Answer own) {
            other(NodeError.of(late ? Code.LATE : Code.FAILED), own);
        }

        private void other(NodeError error, Answer own) {
            if (msgid == NOTIFICATION) {
                notices--;
                all.counts.add(Dropped.NOTIFICATION, all.clock().now(), taken.head().method() + ": " + error.message());
                goOn();
            } else if (own != null) {
                answered(this, own.body().whole());
            } else {
                answered(this, body(error));
            }
        }
    }

    CallerConnection(RpcFront all, PollableChannel channel) {
        this.all = all;
        this.channel = channel;
        decoder = new FrameDecoder(FrameLimits.forPayload(READ_OVER * all.calls.largest()), this);
        idleSince = all.clock().now();
    }

    boolean idle() {
        return open.isEmpty() && notices == 0 && unread == 0;
    }

    @Override
    public boolean uses(Dispatcher pool) {
        // A notification has no entry of its own; while one is out, any pool may be meant.
        return notices > 0 || receiving != null && receiving.taken.target().pool() == pool
            || open.values().stream().anyMatch(c -> c.taken.target().pool() == pool);
    }

    @Override
    public boolean waits() {
        return notices > 0 || !open.isEmpty() || unread > 0;
    }

    @Override
    public boolean safeToClose() {
        return !waits() && (closing || !decoder.midFrame() && channel.poll() != PollableChannel.PollResult.BYTES);
    }

    @Override
    public void close() {
        channel.close();
    }

    // ---- reading ----

    @Override
    public void channelActive(ChannelHandlerContext context) {
        all.opened(this);
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        ByteBuf in = (ByteBuf) message;
        if (closing) {
            readOff += in.readableBytes();
            in.release();
            if (readOff > MOST_READ_OFF) {
                close();
            }
            return;
        }
        ahead.add(in);
        read();
    }

    /** Whether the caller must wait before more of its calls are read. */
    private boolean mustWait() {
        return open.size() + notices >= all.calls.mostOpen || !channel.isWritable();
    }

    private void read() {
        if (reading) {
            return;
        }
        reading = true;
        try {
            while (!closing && !ahead.isEmpty() && (decoder.midFrame() || !mustWait())) {
                ByteBuf in = ahead.peek();
                decoder.feed(in);
                if (!in.isReadable()) {
                    ahead.poll().release();
                }
            }
            frameSince = !decoder.midFrame() ? -1 : frameSince < 0 ? all.clock().now() : frameSince;
        } catch (FormatException e) {
            all.counts.add(Dropped.MALFORMED, all.clock().now(), "caller " + channel.remoteAddress() + ": " + e.getMessage());
            endAfterAnswers();
        } finally {
            reading = false;
        }
        // What is closing is read off; what waits is not read, so that the caller notices.
        channel.config().setAutoRead(closing || ahead.isEmpty());
    }

    /** Goes on with what was read before, once there is room. */
    private void goOn() {
        if (!reading && !ahead.isEmpty() && !closing) {
            channel.eventLoop().execute(this::read);
        }
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext context) {
        if (channel.isWritable()) {
            goOn();
        }
    }

    // ---- calls ----

    @Override
    public void call(long msgid, String method, int params, Envelope envelope) throws FormatException {
        receiving = null;
        if (msgid != NOTIFICATION && open.containsKey(msgid)) {
            // An answer to it could be taken for the other call's.
            throw new FormatException("msgid " + msgid + " is open already");
        }
        boolean notice = msgid == NOTIFICATION;
        Taken taken = all.calls.read(method, params, notice, envelope,
            channel.remoteAddress().getAddress().getHostAddress());
        if (taken == null) {
            refuse(msgid, method, NodeError.of(Code.NO_METHOD));
        } else if (all.refuses() || all.nearConnectionLimit()) {
            taken.target().pool().countResult(taken.terms(), RequestCounts.RequestResult.BUSY);
            refuse(msgid, method, NodeError.of(Code.REFUSED));
        } else {
            receiving = new OpenCall(msgid, taken);
            ByteBuf head = Unpooled.buffer(5);
            MsgPackWriter.array(head, params);
            payload(head);
        }
    }

    @Override
    public void reply(long msgid) throws FormatException {
        throw new FormatException("a caller calls, and does not reply");
    }

    @Override
    public void payload(ByteBuf bytes) {
        OpenCall call = receiving;
        if (call == null || call.refusal != null) {
            return;
        }
        int more = bytes.readableBytes();
        if (!call.exchange.body.add(bytes)) {
            // Nothing of it was sent on, so the caller may try again when there is room.
            boolean large = call.exchange.body.size() + more > call.taken.target().payload();
            call.refusal = NodeError.of(large ? Code.TOO_LARGE : Code.REFUSED);
            call.exchange.body.release();
        }
    }

    @Override
    public void errorEnded() {
        throw new IllegalStateException("no reply has begun");
    }

    @Override
    public boolean end() {
        OpenCall call = receiving;
        receiving = null;
        frameSince = -1;
        if (call != null) {
            if (call.refusal != null) {
                call.taken.target().pool().countResult(call.taken.terms(),
                    call.refusal.code() == Code.REFUSED ? RequestCounts.RequestResult.BUSY : RequestCounts.RequestResult.FAILURE);
                refuse(call.msgid, call.taken.head().method(), call.refusal);
            } else {
                if (call.msgid == NOTIFICATION) {
                    notices++;
                } else {
                    open.put(call.msgid, call);
                }
                call.taken.target().pool().arrived(call.exchange, all.clock().earliestArrival());
            }
        }
        idleSince = all.clock().now();
        return !closing && !mustWait();
    }

    /** Turns away what was never taken. */
    private void refuse(long msgid, String method, NodeError error) {
        if (msgid == NOTIFICATION) {
            all.counts.add(Dropped.NOTIFICATION, all.clock().now(), method + ": " + error.message());
        } else {
            write(msgid, body(error));
        }
    }

    // ---- answers ----

    private static ByteBuf body(NodeError error) {
        ByteBuf body = Unpooled.buffer(128);
        error.write(body);
        MsgPackWriter.nil(body);
        return body;
    }

    private void answered(OpenCall call, ByteBuf body) {
        open.remove(call.msgid);
        // The answer goes on taking memory until the caller reads it, which it may do slowly.
        SharedLimit.Share share = call.taken.target().bytes();
        long held = body.readableBytes();
        share.forceTake(held);
        write(call.msgid, body).addListener(f -> share.giveBack(held));
        idleSince = all.clock().now();
        goOn();
    }

    private ChannelFuture write(long msgid, ByteBuf body) {
        ByteBuf head = channel.alloc().buffer(16);
        MsgPackWriter.array(head, 4);
        MsgPackWriter.whole(head, 1);
        MsgPackWriter.whole(head, msgid);
        long bytes = head.readableBytes() + body.readableBytes();
        if (unread++ == 0) {
            unreadSince = all.clock().now();
        }
        unreadBytes += bytes;
        ChannelFuture sent = channel.writeAndFlush(Unpooled.wrappedBuffer(head, body)).addListener(f -> {
            unread--;
            unreadBytes -= bytes;
            unreadSince = all.clock().now();
        });
        if (unreadBytes > all.mostUnread()) {
            letGo();
        } else if (closing) {
            shutWhenDone();
        }
        return sent;
    }

    private void letGo() {
        all.counts.add(Dropped.UNREAD, all.clock().now(), "caller " + channel.remoteAddress() + ": " + unreadBytes + " bytes");
        close();
    }

    // ---- ends ----

    /** Reads no further call, answers those that are open, and closes. */
    private void endAfterAnswers() {
        closing = true;
        frameSince = -1;
        if (receiving != null) {
            receiving.exchange.body.release();
            receiving = null;
        }
        ahead.forEach(ByteBuf::release);
        ahead.clear();
        channel.config().setAutoRead(true);
        shutWhenDone();
    }

    private void shutWhenDone() {
        if (!shut && open.isEmpty()) {
            shut = true;
            idleSince = all.clock().now();
            // Closing with bytes unread would reset the connection, and take answers along.
            channel.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(f -> channel.shutdownOutput());
        }
    }

    @Override
    public void compensateStall(long span, long now) {
        idleSince = Math.min(now, idleSince + span);
        unreadSince = Math.min(now, unreadSince + span);
        frameSince = frameSince < 0 ? -1 : Math.min(now, frameSince + span);
    }

    @Override
    public void sweep(long now) {
        if (unread > 0 && now - unreadSince > LONGEST_UNREAD) {
            letGo();
        } else if (closing) {
            if (shut && unread == 0 && now - idleSince > LINGER) {
                close();
            }
        } else if (frameSince >= 0 && now - frameSince > LONGEST_FRAME + all.calls.largest() * FOR_EACH_BYTE) {
            all.counts.add(Dropped.MALFORMED, now, "caller " + channel.remoteAddress() + ": a frame did not come whole in time");
            endAfterAnswers();
        } else if (idle() && (all.ends(idleSince, now) || now - idleSince > all.calls.longestIdle) && safeToClose()) {
            endAfterAnswers();
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        closing = true;
        all.closed(this);
        ahead.forEach(ByteBuf::release);
        ahead.clear();
        if (receiving != null) {
            receiving.exchange.body.release();
            receiving = null;
        }
        List<OpenCall> left = List.copyOf(open.values());
        open.clear();
        left.forEach(c -> c.taken.target().pool().clientGone(c.exchange));
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        if (!(cause instanceof java.io.IOException)) {
            Log.failure("connection from a caller", cause);
        }
        close();
    }
}
