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
import onyxpaddle.rpc.RpcDropCounter.Dropped;

/**
 * One connection to a server, with many calls on it. Calls wait in a queue of its own until the socket takes bytes, so
 * that one given up there never goes out. What breaks before a call's last byte is written has never run, what breaks
 * after it may have.
 */
final class RpcConnection extends ChannelInboundHandlerAdapter implements FrameSink {
    private static final int CALL = 0;
    private static final int NOTICE = 2;

    final RpcUpstream.Peer peer;
    private final RpcUpstream all;
    private final Channel channel;
    private final CallTable<Call> calls;
    private final FrameDecoder decoder;
    /** Calls that the socket has not been given yet. */
    private final ArrayDeque<Call> queue = new ArrayDeque<>();
    private boolean connected;
    private boolean retired;
    private boolean over;
    private long heard;
    private long idleSince;
    /** The call whose reply comes just now; null where nobody waits for it. */
    private Call replying;
    private Body reply;
    private boolean tooLarge;
    private int errorBytes;

    /** An attempt on this connection. */
    final class Call {
        private final Attempt attempt;
        private final long sentAt;
        private long id = -1;
        private boolean handedOver;
        private boolean notification;

        private Call(Attempt attempt, long now) {
            this.attempt = attempt;
            this.sentAt = now;
        }

        void giveUp() {
            if (!handedOver) {
                queue.remove(this);
                calls.withdraw(id);
            } else if (!attempt.written()) {
                // It lies in the socket's buffer and may go out at any time after: only the connection's end prevents it.
                calls.withdraw(id);
                close();
            } else {
                calls.giveUp(id);
                if (replying == this) {
                    dropReply();
                }
            }
        }
    }

    RpcConnection(RpcUpstream all, RpcUpstream.Peer peer, Channel channel, CallTable<Call> calls) {
        this.all = all;
        this.peer = peer;
        this.channel = channel;
        this.calls = calls;
        decoder = new FrameDecoder(FrameLimits.forPayload(all.terms.payload()), this);
        idleSince = all.clock.now();
    }

    // ---- what it is good for ----

    ConnectionSelector.Seen seen(long now) {
        boolean stalled = connected && (!channel.isWritable() || stalls(now));
        return new ConnectionSelector.Seen(calls.inFlight(), !retired && !over && !calls.full(), stalled);
    }

    private boolean stalls(long now) {
        return peer.choice.stalls(calls.oldest(), heard, now);
    }

    /** Takes no further call, and closes once none waits. */
    void retire() {
        retired = true;
        peer.connections.remove(this);
        // After the module has been told what has become of the server: it would send the same again otherwise.
        channel.eventLoop().execute(() -> {
            for (Call call = queue.poll(); call != null; call = queue.poll()) {
                calls.withdraw(call.id);
                all.dispatcher.ended(call.attempt, Outcome.CONNECT_FAILED, null);
            }
            endIfDone();
        });
    }

    void close() {
        over = true;
        // Its place is free at once: until it has closed it would count, and serve nobody.
        peer.connections.remove(this);
        channel.close();
    }

    void sweep(long now) {
        if (calls.waiting() > 0) {
            idleSince = now;
        } else if (closeIfSpent(now)) {
            return;
        } else if (now - idleSince >= all.terms.idle()) {
            close();
        }
    }

    /** Closes it if no call waits and what it still owes holds its places, and will hardly come. */
    boolean closeIfSpent(long now) {
        boolean spent = connected && calls.waiting() == 0
            && (calls.spent() || calls.inFlight() > 0 && (calls.full() || stalls(now)));
        if (spent) {
            close();
        }
        return spent;
    }

    // ---- calls ----

    void send(Attempt attempt) {
        Call call = new Call(attempt, all.clock.now());
        attempt.carrier = call;
        call.id = calls.open(call, call.sentAt);
        queue.add(call);
        write();
    }

    void connected() {
        if (over) {
            channel.close();
            failed();
            return;
        }
        connected = true;
        heard = all.clock.now();
        channel.pipeline().addLast(this);
        write();
    }

    /** The dial has failed, so none of its calls has run. */
    void failed() {
        all.closed(this);
        queue.clear();
        calls.end().forEach(call -> all.dispatcher.ended(call.attempt, Outcome.CONNECT_FAILED, null));
    }

    private void write() {
        boolean any = false;
        while (connected && !over && !queue.isEmpty() && channel.isWritable()) {
            Call call = queue.poll();
            if (!all.dispatcher.mayBegin(call.attempt)) {
                calls.withdraw(call.id);
                continue;
            }
            call.handedOver = true;
            any = true;
            call.attempt.setLastWrite(channel.write(frame(call)).addListener(f -> written(call, f.isSuccess())));
        }
        if (any) {
            channel.flush();
        }
    }

    private ByteBuf frame(Call call) {
        Exchange x = call.attempt.exchange;
        RpcCallHead head = all.bridge.head(x);
        call.notification = head.notification();
        ByteBuf out = channel.alloc().buffer(64 + head.method().length());
        MsgPackWriter.array(out, head.notification() ? 3 : 4);
        MsgPackWriter.whole(out, head.notification() ? NOTICE : CALL);
        if (!head.notification()) {
            MsgPackWriter.whole(out, call.id);
        }
        MsgPackWriter.text(out, head.method());
        ByteBuf params = x.body.size() == 0 ? Unpooled.EMPTY_BUFFER : x.body.whole();
        if (params.isReadable()) {
            // The array's head is written anew, as the envelope counts among the parameters.
            params.skipBytes(arrayHead(params));
        }
        MsgPackWriter.array(out, head.params() + (all.terms.envelope() ? 1 : 0));
        if (all.terms.envelope()) {
            long now = all.clock.now();
            double left = Math.max(0, Math.min(call.attempt.exchange.timeLeft(now), call.attempt.until - now)) / 1e6;
            Envelope from = head.envelope();
            new Envelope(left, from.key(), from.tenant(), from.retry(), Double.NaN).write(out);
        }
        return params.isReadable() ? Unpooled.wrappedBuffer(out, params) : out;
    }

    private static int arrayHead(ByteBuf array) {
        int first = array.getUnsignedByte(array.readerIndex());
        return first == 0xdc ? 3 : first == 0xdd ? 5 : 1;
    }

    private void written(Call call, boolean success) {
        if (!success) {
            close();
            return;
        }
        call.attempt.markWritten();
        if (call.notification && !call.attempt.ended()) {
            // Nothing is answered: that the server has it is all there is to know.
            calls.withdraw(call.id);
            all.dispatcher.ended(call.attempt, Outcome.OK, new Answer(new ReplyHead(0, false),
                new Body(all.budget.bytes(), 0, 0)));
            endIfDone();
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
        heard = all.clock.now();
        try {
            while (in.isReadable() && !over) {
                decoder.feed(in);
            }
        } catch (FormatException e) {
            all.counts.add(Dropped.MALFORMED, heard, "server " + peer.server + ": " + e.getMessage());
            close();
        } finally {
            in.release();
        }
    }

    @Override
    public void call(long msgid, String method, int params, Envelope envelope) throws FormatException {
        throw new FormatException("a server replies, and does not call");
    }

    @Override
    public void reply(long msgid) {
        replying = calls.answered(msgid);
        errorBytes = -1;
        tooLarge = false;
        if (replying == null) {
            CallTable.Stray stray = calls.stray(msgid);
            all.counts.add(stray == CallTable.Stray.LATE ? Dropped.LATE_REPLY : Dropped.UNKNOWN_REPLY, heard,
                "msgid " + msgid + " of server " + peer.server);
        } else {
            reply = new Body(all.budget.bytes(), -1, all.terms.payload());
        }
    }

    @Override
    public void payload(ByteBuf bytes) {
        if (reply != null && !reply.add(bytes)) {
            tooLarge = true;
            reply.release();
            reply = null;
        }
    }

    @Override
    public void errorEnded() {
        errorBytes = reply == null ? 0 : (int) reply.size();
    }

    @Override
    public boolean end() {
        Call call = replying;
        Body body = reply;
        replying = null;
        reply = null;
        if (call != null) {
            peer.choice.answered(heard - call.sentAt);
            if (tooLarge || !call.attempt.written()) {
                // Not an answer that can be passed on; what it stands for may have run.
                release(body);
                all.dispatcher.ended(call.attempt, call.attempt.written() ? Outcome.ERROR : Outcome.CONNECT_FAILED, null);
            } else {
                judge(call.attempt, body);
            }
            endIfDone();
        }
        return !over;
    }

    private void judge(Attempt attempt, Body body) {
        ByteBuf error = body.whole().slice(0, errorBytes);
        boolean nil = errorBytes == 1 && error.getUnsignedByte(0) == MsgPackWriter.NIL;
        NodeError own = nil ? null : NodeError.read(error);
        Outcome outcome = Outcome.OK;
        if (own != null) {
            outcome = switch (own.code()) {
                case REFUSED -> Outcome.FULL;
                case FAILED, LATE -> Outcome.ERROR;
                case NO_METHOD, REJECTED, TOO_LARGE -> Outcome.REJECTED;
            };
        }
        if (outcome == Outcome.FULL) {
            body.release();
            all.dispatcher.ended(attempt, outcome, null);
        } else {
            Answer answer = all.bridge.answer(attempt.exchange, new Answer(new ReplyHead(errorBytes, !nil), body));
            all.dispatcher.ended(attempt, answer == null ? Outcome.ERROR : outcome, answer);
        }
    }

    private void dropReply() {
        replying = null;
        release(reply);
        reply = null;
    }

    private static void release(Body body) {
        if (body != null) {
            body.release();
        }
    }

    private void endIfDone() {
        if (retired && calls.waiting() == 0) {
            close();
        }
    }

    // ---- ends ----

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        over = true;
        all.closed(this);
        Call broken = replying;
        dropReply();
        queue.clear();
        if (broken != null) {
            all.dispatcher.ended(broken.attempt, Outcome.RESET, null);
        }
        for (Call call : calls.end()) {
            all.dispatcher.ended(call.attempt, call.attempt.written() ? Outcome.RESET : Outcome.CONNECT_FAILED, null);
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        if (!(cause instanceof java.io.IOException)) {
            Log.failure("connection to server " + peer.server, cause);
        }
        close();
    }
}
