package onyxpaddle.standin;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.util.concurrent.GlobalEventExecutor;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
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
 * A MessagePack-RPC server that stands in for a box of the records system on loopback. It answers each call with its own
 * name, the method and the parameters, after a delay; {@code fail} with an error of its own, {@code refuse} with the
 * documented word that the call never ran, {@code count} with the number of parameters. It counts how often each call
 * ran by its key: that of an envelope, or the first parameter where it is a text. What goes wrong is scripted.
 */
public final class StandInRpcServer implements AutoCloseable {
    private static final String ENVELOPE = "lupinmount";

    private final String name;
    private final Ledger ledger;
    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final ChannelGroup open = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);
    private final Channel listener;
    private final AtomicLong notified = new AtomicLong();
    private final AtomicInteger connections = new AtomicInteger();
    private volatile long delayMillis;
    private volatile long jitterMillis;
    private volatile boolean frozen;
    private volatile boolean refuses;
    private volatile FaultScript faults = FaultScript.none();
    private volatile Map<Value, Value> lastEnvelope = Map.of();

    /** {@code port}: 0 for one that the system chooses; {@code ledger}: where it writes down what ran. */
    public StandInRpcServer(String name, int port, Ledger ledger) throws Exception {
        this.name = name;
        this.ledger = ledger;
        try {
            listener = new ServerBootstrap().group(group).channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_BACKLOG, 4096)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        open.add(channel);
                        connections.incrementAndGet();
                        channel.config().setAutoRead(!frozen);
                        channel.pipeline().addLast(new Calls());
                    }
                }).bind("127.0.0.1", port).sync().channel();
        } catch (Exception e) {
            group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
            throw e;
        }
    }

    public InetSocketAddress address() {
        return (InetSocketAddress) listener.localAddress();
    }

    public String hostPort() {
        return "127.0.0.1:" + address().getPort();
    }

    /** Each answer comes after so many milliseconds, and up to so many more. */
    public StandInRpcServer delay(long millis, long jitter) {
        delayMillis = millis;
        jitterMillis = jitter;
        return this;
    }

    /** What goes wrong with its answers from now on. */
    public StandInRpcServer faults(FaultScript script) {
        faults = script;
        return this;
    }

    /** From now on it reads and answers nothing, as a process that has stopped; or it goes on where it stopped. */
    public StandInRpcServer frozen(boolean on) {
        frozen = on;
        open.forEach(channel -> channel.config().setAutoRead(!on));
        return this;
    }

    /** From now on it turns each call away unseen, by the documented error, or serves again. */
    public StandInRpcServer refuses(boolean on) {
        refuses = on;
        return this;
    }

    public Ledger ledger() {
        return ledger;
    }

    /** How many notifications have come. */
    public long notified() {
        return notified.get();
    }

    /** How many connections have been made to it. */
    public int connections() {
        return connections.get();
    }

    /** How many of them are open. */
    public int openConnections() {
        return open.size();
    }

    /** What the envelope of the last call said; empty where it had none. */
    public Map<Value, Value> lastEnvelope() {
        return lastEnvelope;
    }

    /** Closes all connections at once, and takes new ones as before. */
    public void breakConnections() {
        open.close().syncUninterruptibly();
    }

    @Override
    public void close() {
        listener.close().syncUninterruptibly();
        open.close().syncUninterruptibly();
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }

    private final class Calls extends ChannelInboundHandlerAdapter {
        private final ByteBuf bytes = Unpooled.buffer();
        /** An answer that waits for the next one to go before it. */
        private byte[] held;
        private boolean stalled;

        @Override
        public void channelRead(ChannelHandlerContext context, Object message) throws IOException {
            ByteBuf more = (ByteBuf) message;
            bytes.writeBytes(more);
            more.release();
            try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(bytes.nioBuffer())) {
                long taken = 0;
                try {
                    while (unpacker.hasNext()) {
                        ArrayValue frame = unpacker.unpackValue().asArrayValue();
                        taken = unpacker.getTotalReadBytes();
                        frame(context, frame);
                    }
                } catch (MessageInsufficientBufferException e) {
                    // The rest of it comes with a later read.
                }
                bytes.skipBytes((int) taken).discardReadBytes();
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
                ledger.ran(key(envelope, params));
                return;
            }
            Value id = frame.get(1);
            if (refuses || method.equals("refuse")) {
                send(context, answer(id, ValueFactory.newMap(text(ENVELOPE), ValueFactory.newMap(text("code"), text("refused"),
                    text("message"), text("full"))), ValueFactory.newNil()));
                return;
            }
            ledger.ran(key(envelope, params));
            Fault fault = faults.next();
            Value answered = fault == Fault.WRONG_ID ? ValueFactory.newInteger(0xfffffff0L) : id;
            byte[] answer = method.equals("fail") ? answer(answered, text("failed as asked"), ValueFactory.newNil())
                : answer(answered, ValueFactory.newNil(), method.equals("count") ? ValueFactory.newInteger(params.size())
                    : ValueFactory.newMap(text("by"), text(name), text("method"), text(method), text("params"),
                        ValueFactory.newArray(params)));
            long millis = delayMillis + (jitterMillis > 0 ? ThreadLocalRandom.current().nextLong(jitterMillis + 1) : 0)
                + (fault == Fault.DELAY ? faults.delayMillis() : 0);
            after(context, millis, () -> faulty(context, answer, fault));
        }

        private void after(ChannelHandlerContext context, long millis, Runnable then) {
            if (frozen) {
                context.executor().schedule(() -> after(context, 0, then), StandInServer.THAW_MS, TimeUnit.MILLISECONDS);
            } else if (millis <= 0) {
                then.run();
            } else {
                context.executor().schedule(() -> after(context, 0, then), millis, TimeUnit.MILLISECONDS);
            }
        }

        private void faulty(ChannelHandlerContext context, byte[] answer, Fault fault) {
            switch (fault) {
                case LOSE_REPLY -> { }
                case REORDER -> {
                    byte[] before = held;
                    held = answer;
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
                        context.writeAndFlush(Unpooled.wrappedBuffer(answer, 0, 1 + faults.draw(answer.length - 1)))
                            .addListener(ChannelFutureListener.CLOSE);
                    }
                }
                case GARBAGE -> send(context, faults.garbage());
                case NONE, DELAY, WRONG_ID -> {
                    send(context, answer);
                    if (held != null) {
                        send(context, held);
                        held = null;
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
        Value said = params.get(0).asMapValue().map().get(text(ENVELOPE));
        return said == null ? Map.of() : said.asMapValue().map();
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
