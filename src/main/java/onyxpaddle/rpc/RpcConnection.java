package onyxpaddle.rpc;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import java.util.ArrayDeque;
import onyxpaddle.BalancerApi.Outcome;
import onyxpaddle.node.Answer;
import onyxpaddle.node.Attempt;
import onyxpaddle.node.Body;
import onyxpaddle.node.Exchange;
import onyxpaddle.node.Log;
import onyxpaddle.node.NodeEvent;
import onyxpaddle.rpc.RpcDropCounter.Dropped;

/**
 * One connection to a server that carries many calls. Calls wait in a queue until the channel is writable, so that a
 * call given up while queued is never sent. If the connection breaks before the last byte of a call has been written,
 * the call never ran; afterwards it may have.
 */
final class RpcConnection extends ChannelInboundHandlerAdapter implements FrameSink {
    private static final int TYPE_CALL = 0;
    private static final int TYPE_NOTIFICATION = 2;

    final RpcUpstream.Peer peer;
    private final RpcUpstream upstream;
    private final Channel channel;
    private final CallTable<Call> calls;
    private final FrameDecoder decoder;
    /** Calls that have not been passed to the channel yet. */
    private final ArrayDeque<Call> queue = new ArrayDeque<>();
    private boolean connected;
    private boolean retired;
    private boolean closed;
    /** Why it closes, unless its server has closed it. */
    private NodeEvent closeReason = NodeEvent.SERVER_CLOSED;
    private long lastReadAt;
    private long idleSince;
    /** The call whose reply is being read; null if no call waits for that reply. */
    private Call replyingCall;
    private Body replyBody;
    private boolean tooLarge;
    private int errorBytes;

    /** An attempt on this connection. */
    final class Call {
        private final Attempt attempt;
        private final long sentAt;
        private long id = -1;
        private boolean passedToChannel;
        private boolean notification;

        private Call(Attempt attempt, long now) {
            this.attempt = attempt;
            this.sentAt = now;
        }

        void giveUp() {
            if (!passedToChannel) {
                queue.remove(this);
                calls.discard(id);
            } else if (!attempt.written()) {
                // Part of it may still be buffered and be sent at any time; only closing the connection prevents that.
                calls.discard(id);
                close(NodeEvent.SERVER_GIVEN_UP);
            } else {
                calls.giveUp(id);
                if (replyingCall == this) {
                    discardReply();
                }
            }
        }
    }

    RpcConnection(RpcUpstream upstream, RpcUpstream.Peer peer, Channel channel, CallTable<Call> calls) {
        this.upstream = upstream;
        this.peer = peer;
        this.channel = channel;
        this.calls = calls;
        decoder = new FrameDecoder(FrameLimits.forPayload(upstream.options.maxPayload()), this);
        idleSince = upstream.clock.now();
    }

    // ---- state ----

    ConnectionSelector.ConnectionState state(long now) {
        boolean stalled = connected && (!channel.isWritable() || isStalled(now));
        return new ConnectionSelector.ConnectionState(calls.inFlight(), !retired && !closed && !calls.isFull(), stalled);
    }

    private boolean isStalled(long now) {
        return peer.selector.isStalled(calls.oldestOpenedAt(), lastReadAt, now);
    }

    /** Accepts no further calls, and closes the connection once no call waits. */
    void retire() {
        retired = true;
        peer.connections.remove(this);
        // Deferred until the decision module has processed the change of the server; otherwise it would send the
        // calls here again.
        channel.eventLoop().execute(() -> {
            for (Call call = queue.poll(); call != null; call = queue.poll()) {
                calls.discard(call.id);
                upstream.dispatcher.ended(call.attempt, Outcome.CONNECT_FAILED, null);
            }
            closeIfDone();
        });
    }

    /** Closes the connection; only the first reason counts. */
    void close(NodeEvent reason) {
        if (!closed) {
            closeReason = reason;
        }
        closed = true;
        // Removed at once, as it would otherwise count towards the connection limit until it has closed.
        peer.connections.remove(this);
        channel.close();
    }

    void sweep(long now) {
        if (calls.waiting() > 0) {
            idleSince = now;
        } else if (closeIfExhausted(now)) {
            return;
        } else if (now - idleSince >= upstream.options.idleTimeout()) {
            close(NodeEvent.SERVER_IDLE);
        }
    }

    /**
     * Closes the connection if no call waits and it cannot take further calls: its msgids are used up, or calls that
     * were given up occupy its slots and their replies are unlikely to arrive.
     */
    boolean closeIfExhausted(long now) {
        boolean exhausted = connected && calls.waiting() == 0
            && (calls.idsExhausted() || calls.inFlight() > 0 && (calls.isFull() || isStalled(now)));
        if (exhausted) {
            close(NodeEvent.SERVER_NOT_REUSABLE);
        }
        return exhausted;
    }

    // ---- calls ----

    void send(Attempt attempt) {
        Call call = new Call(attempt, upstream.clock.now());
        attempt.carrier = call;
        call.id = calls.open(call, call.sentAt);
        queue.add(call);
        write();
    }

    void onConnected() {
        if (closed) {
            channel.close();
            onConnectFailed();
            return;
        }
        connected = true;
        lastReadAt = upstream.clock.now();
        channel.pipeline().addLast(this);
        write();
    }

    /** No connection was established, so none of its calls ran. */
    void onConnectFailed() {
        upstream.onClosed(this);
        queue.clear();
        calls.removeAll().forEach(call -> upstream.dispatcher.ended(call.attempt, Outcome.CONNECT_FAILED, null));
    }

    private void write() {
        upstream.dispatcher.admission().whenCurrent(this::writeQueued);
    }

    private void writeQueued() {
        boolean any = false;
        while (connected && !closed && !queue.isEmpty() && channel.isWritable()) {
            Call call = queue.poll();
            if (upstream.dispatcher.admission().awaitsCaller(call.attempt)) {
                returnToUpstream(call);
                continue;
            }
            if (!upstream.dispatcher.admission().mayBegin(call.attempt)) {
                calls.discard(call.id);
                continue;
            }
            call.passedToChannel = true;
            any = true;
            call.attempt.setLastWrite(channel.write(encode(call)).addListener(f -> onWritten(call, f.isSuccess())));
        }
        if (any) {
            channel.flush();
        }
    }

    /** Whether the caller is still there is not known: the call gives up its place, and is sent anew once that is known. */
    private void returnToUpstream(Call call) {
        calls.discard(call.id);
        call.attempt.carrier = null;
        upstream.sendOnceCallerIsKnown(call.attempt);
    }

    private ByteBuf encode(Call call) {
        Exchange exchange = call.attempt.exchange;
        RpcCallHead head = upstream.bridge.head(exchange);
        call.notification = head.notification();
        ByteBuf buffer = channel.alloc().buffer(64 + head.method().length());
        MsgPackWriter.writeArrayHeader(buffer, head.notification() ? 3 : 4);
        MsgPackWriter.writeUnsigned(buffer, head.notification() ? TYPE_NOTIFICATION : TYPE_CALL);
        if (!head.notification()) {
            MsgPackWriter.writeUnsigned(buffer, call.id);
        }
        MsgPackWriter.writeString(buffer, head.method());
        ByteBuf params = exchange.body.size() == 0 ? Unpooled.EMPTY_BUFFER : exchange.body.whole();
        if (params.isReadable()) {
            // The array header is rewritten, because the envelope counts as a parameter.
            params.skipBytes(arrayHeaderLength(params));
        }
        MsgPackWriter.writeArrayHeader(buffer, head.paramCount() + (upstream.options.sendEnvelope() ? 1 : 0));
        if (upstream.options.sendEnvelope()) {
            long now = upstream.clock.now();
            double timeLeft = Math.max(0, Math.min(call.attempt.exchange.timeLeft(now), call.attempt.until - now)) / 1e6;
            Envelope from = head.envelope();
            new Envelope(timeLeft, from.key(), from.tenant(), from.retry(), Double.NaN).write(buffer);
        }
        return params.isReadable() ? Unpooled.wrappedBuffer(buffer, params) : buffer;
    }

    private static int arrayHeaderLength(ByteBuf array) {
        int first = array.getUnsignedByte(array.readerIndex());
        return first == 0xdc ? 3 : first == 0xdd ? 5 : 1;
    }

    private void onWritten(Call call, boolean success) {
        if (!success) {
            close(NodeEvent.SERVER_CLOSED);
            return;
        }
        call.attempt.markWritten();
        if (call.notification && !call.attempt.ended()) {
            // A notification has no reply; it is complete once it has been written.
            calls.discard(call.id);
            upstream.dispatcher.ended(call.attempt, Outcome.OK, new Answer(new ReplyHead(0, false),
                new Body(upstream.budget.bytes(), 0, 0)));
            closeIfDone();
        }
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext context) {
        write();
    }

    // ---- replies ----

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        ByteBuf in = (ByteBuf) message;
        lastReadAt = upstream.clock.now();
        try {
            while (in.isReadable() && !closed) {
                decoder.feed(in);
            }
        } catch (FormatException e) {
            upstream.dropCounter.add(Dropped.MALFORMED, lastReadAt, "server " + peer.server + ": " + e.getMessage());
            close(NodeEvent.SERVER_INVALID_ANSWER);
        } finally {
            in.release();
        }
    }

    @Override
    public void call(long msgid, String method, int params, Envelope envelope) throws FormatException {
        throw new FormatException("unexpected call from a server");
    }

    @Override
    public void reply(long msgid) {
        replyingCall = calls.complete(msgid);
        errorBytes = -1;
        tooLarge = false;
        if (replyingCall == null) {
            CallTable.UnmatchedReply unmatched = calls.classifyUnmatched(msgid);
            upstream.dropCounter.add(unmatched == CallTable.UnmatchedReply.LATE ? Dropped.LATE_REPLY : Dropped.UNKNOWN_REPLY, lastReadAt,
                "msgid " + msgid + " of server " + peer.server);
        } else {
            replyBody = new Body(upstream.budget.bytes(), -1, upstream.options.maxPayload());
        }
    }

    @Override
    public void payload(ByteBuf bytes) {
        if (replyBody != null && !replyBody.add(bytes)) {
            tooLarge = true;
            replyBody.release();
            replyBody = null;
        }
    }

    @Override
    public void errorEnded() {
        errorBytes = replyBody == null ? 0 : (int) replyBody.size();
    }

    @Override
    public boolean end() {
        Call call = replyingCall;
        Body body = replyBody;
        replyingCall = null;
        replyBody = null;
        if (call != null) {
            peer.selector.recordResponseTime(lastReadAt - call.sentAt);
            if (tooLarge || !call.attempt.written()) {
                // The reply cannot be passed on. If the call was fully written, it may have run.
                release(body);
                upstream.dispatcher.ended(call.attempt, call.attempt.written() ? Outcome.ERROR : Outcome.CONNECT_FAILED, null);
            } else {
                complete(call.attempt, body);
            }
            closeIfDone();
        }
        return !closed;
    }

    private void complete(Attempt attempt, Body body) {
        ByteBuf error = body.whole().slice(0, errorBytes);
        boolean nil = errorBytes == 1 && error.getUnsignedByte(0) == MsgPackWriter.NIL;
        NodeError nodeError = nil ? null : NodeError.read(error);
        Outcome outcome = Outcome.OK;
        if (nodeError != null) {
            outcome = switch (nodeError.code()) {
                case REFUSED -> Outcome.FULL;
                case FAILED, LATE -> Outcome.ERROR;
                case NO_METHOD, REJECTED, TOO_LARGE -> Outcome.REJECTED;
            };
        }
        if (outcome == Outcome.FULL) {
            body.release();
            upstream.dispatcher.ended(attempt, outcome, null);
        } else {
            Answer answer = upstream.bridge.answer(attempt.exchange, new Answer(new ReplyHead(errorBytes, !nil), body));
            upstream.dispatcher.ended(attempt, answer == null ? Outcome.ERROR : outcome, answer);
        }
    }

    private void discardReply() {
        replyingCall = null;
        release(replyBody);
        replyBody = null;
    }

    private static void release(Body body) {
        if (body != null) {
            body.release();
        }
    }

    private void closeIfDone() {
        if (retired && calls.waiting() == 0) {
            close(NodeEvent.SERVER_LEAVING);
        }
    }

    // ---- closing ----

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        upstream.dispatcher.events().count(closeReason);
        closed = true;
        upstream.onClosed(this);
        Call interrupted = replyingCall;
        discardReply();
        queue.clear();
        if (interrupted != null) {
            upstream.dispatcher.ended(interrupted.attempt, Outcome.RESET, null);
        }
        for (Call call : calls.removeAll()) {
            upstream.dispatcher.ended(call.attempt, call.attempt.written() ? Outcome.RESET : Outcome.CONNECT_FAILED, null);
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        if (!(cause instanceof java.io.IOException)) {
            Log.failure("connection to server " + peer.server, cause);
        }
        close(NodeEvent.SERVER_CLOSED);
    }
}
