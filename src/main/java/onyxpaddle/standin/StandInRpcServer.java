package onyxpaddle.standin;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import onyxpaddle.standin.FaultScript.Fault;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessageInsufficientBufferException;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessageUnpacker;
import org.msgpack.value.ArrayValue;
import org.msgpack.value.Value;
import org.msgpack.value.ValueFactory;

/**
 * A MessagePack-RPC server on loopback that stands in for a backend. It answers each call with its own name, the method and the
 * parameters, after a delay; {@code fail} with an application error, {@code refuse} with the documented error for a call that was
 * not executed, {@code count} with the number of parameters. It counts the executions of each call by its key, which is the key of
 * the envelope, or the first parameter if that is a text. Faults are scripted.
 */
public final class StandInRpcServer extends StandIn<StandInRpcServer> {
    private static final String ENVELOPE = "lupinmount";

    private final AtomicLong notified = new AtomicLong();
    private final AtomicInteger connections = new AtomicInteger();
    private volatile Map<Value, Value> lastEnvelope = Map.of();

    /** {@code port}: 0 for a free one; {@code executions}: the counter of executed calls. */
    public StandInRpcServer(String name, int port, ExecutionCounter executions) throws Exception {
        super(name, executions);
        listen(port);
    }

    @Override
    StandInRpcServer self() {
        return this;
    }

    @Override
    ChannelHandler[] handlers() {
        connections.incrementAndGet();
        return new ChannelHandler[] {new CallHandler()};
    }

    /** The number of notifications received. */
    public long notified() {
        return notified.get();
    }

    /** The number of connections accepted so far. */
    public int connections() {
        return connections.get();
    }

    /** The number of open connections. */
    public int openConnections() {
        return open.size();
    }

    /** The envelope of the last call; empty if it had none. */
    public Map<Value, Value> lastEnvelope() {
        return lastEnvelope;
    }

    /** Closes all connections; new ones are still accepted. */
    public void breakConnections() {
        open.close().syncUninterruptibly();
    }

    private final class CallHandler extends ChannelInboundHandlerAdapter {
        private final ByteBuf bytes = Unpooled.buffer();
        /** A reordered answer, which is sent after the next one. */
        private byte[] deferred;
        private boolean stalled;

        @Override
        public void channelRead(ChannelHandlerContext context, Object message) throws IOException {
            ByteBuf more = (ByteBuf) message;
            bytes.writeBytes(more);
            more.release();
            try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(bytes.nioBuffer())) {
                long consumed = 0;
                try {
                    while (unpacker.hasNext()) {
                        ArrayValue frame = unpacker.unpackValue().asArrayValue();
                        consumed = unpacker.getTotalReadBytes();
                        frame(context, frame);
                    }
                } catch (MessageInsufficientBufferException e) {
                    // The frame is incomplete; the rest arrives with a later read.
                }
                bytes.skipBytes((int) consumed).discardReadBytes();
            }
        }

        private void frame(ChannelHandlerContext context, ArrayValue frame) throws IOException {
            boolean notification = frame.get(0).asIntegerValue().toInt() == 2;
            String method = frame.get(frame.size() - 2).asStringValue().asString();
            List<Value> params = frame.get(frame.size() - 1).asArrayValue().list();
            Map<Value, Value> envelope = envelope(params);
            lastEnvelope = envelope;
            if (!envelope.isEmpty()) {
                params = params.subList(1, params.size());
            }
            if (notification) {
                notified.incrementAndGet();
                executions.countExecution(key(envelope, params));
                return;
            }
            Value id = frame.get(1);
            if (refuses || method.equals("refuse")) {
                send(context, answer(id, ValueFactory.newMap(text(ENVELOPE), ValueFactory.newMap(text("code"), text("refused"),
                    text("message"), text("full"))), ValueFactory.newNil()));
                return;
            }
            executions.countExecution(key(envelope, params));
            Fault fault = faults.next();
            Value answerId = fault == Fault.WRONG_ID ? ValueFactory.newInteger(0xfffffff0L) : id;
            byte[] answer = method.equals("fail") ? answer(answerId, text("failed as asked"), ValueFactory.newNil())
                : answer(answerId, ValueFactory.newNil(), method.equals("count") ? ValueFactory.newInteger(params.size())
                    : ValueFactory.newMap(text("by"), text(name), text("method"), text(method), text("params"),
                        ValueFactory.newArray(params)));
            long millis = nextDelay() + (fault == Fault.DELAY ? faults.delayMillis() : 0);
            after(context, millis, () -> sendWithFault(context, answer, fault));
        }

        private void sendWithFault(ChannelHandlerContext context, byte[] answer, Fault fault) {
            switch (fault) {
                case LOSE_REPLY -> { }
                case REORDER -> {
                    byte[] before = deferred;
                    deferred = answer;
                    if (before != null) {
                        send(context, before);
                    }
                }
                case DUPLICATE -> {
                    send(context, answer);
                    send(context, answer);
                }
                case STALL_MID_FRAME -> {
                    send(context, java.util.Arrays.copyOf(answer, answer.length / 2));
                    stalled = true;
                    context.channel().config().setAutoRead(false);
                }
                case CUT_SHORT -> {
                    if (!stalled) {
                        context.writeAndFlush(Unpooled.wrappedBuffer(answer, 0, 1 + faults.randomBelow(answer.length - 1)))
                            .addListener(ChannelFutureListener.CLOSE);
                    }
                }
                case GARBAGE -> send(context, faults.garbage());
                case NONE, DELAY, WRONG_ID -> {
                    send(context, answer);
                    if (deferred != null) {
                        send(context, deferred);
                        deferred = null;
                    }
                }
            }
        }

        private void send(ChannelHandlerContext context, byte[] bytes) {
            if (!stalled) {
                context.writeAndFlush(Unpooled.wrappedBuffer(bytes));
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            bytes.release();
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }

    private static Value text(String text) {
        return ValueFactory.newString(text);
    }

    private static Map<Value, Value> envelope(List<Value> params) {
        if (params.isEmpty() || !params.get(0).isMapValue()) {
            return Map.of();
        }
        Value envelope = params.get(0).asMapValue().map().get(text(ENVELOPE));
        return envelope == null ? Map.of() : envelope.asMapValue().map();
    }

    private static String key(Map<Value, Value> envelope, List<Value> params) {
        Value key = envelope.get(text("key"));
        if (key == null && !params.isEmpty() && params.get(0).isStringValue()) {
            key = params.get(0);
        }
        return key == null ? null : key.asStringValue().asString();
    }

    private static byte[] answer(Value id, Value error, Value result) {
        try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
            packer.packArrayHeader(4).packInt(1).packValue(id).packValue(error).packValue(result);
            return packer.toByteArray();
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }
}
