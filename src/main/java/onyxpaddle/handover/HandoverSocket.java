package onyxpaddle.handover;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioDomainSocketChannel;
import io.netty.channel.socket.nio.NioServerDomainSocketChannel;
import java.io.IOException;
import java.net.UnixDomainSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import onyxpaddle.BalancerApi.BalancerSnapshot;
import onyxpaddle.node.Log;

/**
 * The Unix socket by which a node's next process asks the one that runs for what it has learnt. A connection that has asked
 * and is still open is a successor that lives: the sign by which the one that runs knows, at SIGTERM, that another listens
 * in its place. Guards against a state that is old, torn or not this node's, which is refused; should cover either side
 * hanging or dying at any step, as each waits for a bounded time and then goes on alone. It does harm where two nodes of one
 * name share a folder: they would take each other for themselves.
 */
public final class HandoverSocket {
    /** How long the new process waits; by then it starts as from nothing. */
    private static final long LONGEST_WAIT_MS = 500;
    private static final long LONGEST_HELLO_MS = 1_000;
    private static final int MOST_SUCCESSORS = 4;

    private final EventLoop loop;
    private final String node;
    private final UnixDomainSocketAddress address;
    private final Set<Channel> successors = new HashSet<>();
    private Channel listener;
    private Channel predecessor;

    private HandoverSocket(EventLoop loop, String node, UnixDomainSocketAddress address) {
        this.loop = loop;
        this.node = node;
        this.address = address;
    }

    /** In this folder; null where there is none or where its path is too long for a socket (some 100 bytes). */
    public static HandoverSocket in(String folder, String node, EventLoop loop) {
        if (folder == null || folder.isEmpty()) {
            return null;
        }
        String file = "node-" + Integer.toHexString(node.hashCode()) + ".sock";
        Path path = Path.of(folder, file);
        if (path.toString().getBytes(java.nio.charset.StandardCharsets.UTF_8).length > 100) {
            Log.line("handover: off, as the path of its socket would be too long: " + path);
            return null;
        }
        return new HandoverSocket(loop, node, UnixDomainSocketAddress.of(path));
    }

    // ---- the new process ----

    /**
     * Asks the process that runs, if there is one. What comes is told once: whether one is there, and what it knows by pool, or null.
     * The connection stays open as long as this process lives.
     */
    public void ask(Answered done) {
        if (!Files.exists(address.getPath())) {
            done.answered(false, null);
            return;
        }
        Asking asking = new Asking(done);
        ChannelFuture dial = new Bootstrap().group(loop).channel(NioDomainSocketChannel.class)
            .handler(new ChannelInitializer<Channel>() {
                @Override
                protected void initChannel(Channel channel) {
                    channel.pipeline().addLast(asking);
                }
            }).connect(address);
        dial.addListener(f -> {
            if (f.isSuccess()) {
                predecessor = dial.channel();
                predecessor.writeAndFlush(Unpooled.wrappedBuffer(HandoverMessage.hello(node)));
            } else {
                // Left by a process that is gone.
                asking.finish(false, null);
            }
        });
        loop.schedule(() -> asking.late(), LONGEST_WAIT_MS, TimeUnit.MILLISECONDS);
    }

    /** Hears what the process that runs has said. */
    public interface Answered {
        void answered(boolean present, Map<String, BalancerSnapshot> pools);
    }

    private final class Asking extends ChannelInboundHandlerAdapter {
        private final Answered done;
        private final ByteBuf got = Unpooled.buffer(1024, HandoverMessage.HEAD + HandoverMessage.LARGEST);
        private boolean finished;

        Asking(Answered done) {
            this.done = done;
        }

        private void finish(boolean present, Map<String, BalancerSnapshot> pools) {
            if (!finished) {
                finished = true;
                got.release();
                done.answered(present, pools);
            }
        }

        private void late() {
            if (!finished) {
                Log.line("handover: the process that runs said nothing whole in " + LONGEST_WAIT_MS + " ms");
                finish(predecessor != null && predecessor.isActive(), null);
            }
        }

        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            ByteBuf in = (ByteBuf) message;
            try {
                if (finished) {
                    return;
                }
                if (in.readableBytes() > got.maxWritableBytes()) {
                    throw new IOException("a handover without end");
                }
                got.writeBytes(in);
                if (got.readableBytes() >= HandoverMessage.HEAD) {
                    byte[] all = ByteBufUtil.getBytes(got);
                    int whole = HandoverMessage.HEAD + HandoverMessage.length(Arrays.copyOf(all, HandoverMessage.HEAD));
                    if (all.length >= whole) {
                        finish(true, HandoverMessage.read(all));
                    }
                }
            } catch (IOException e) {
                Log.line("handover: refused: " + e.getMessage());
                finish(true, null);
            } finally {
                in.release();
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            predecessor = null;
            finish(false, null);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }

    // ---- the process that runs ----

    /** Answers the next process from now on; takes the path over from the one before. */
    public void listen(Supplier<Map<String, BalancerSnapshot>> memory) {
        try {
            Files.deleteIfExists(address.getPath());
        } catch (IOException e) {
            Log.failure("handover: taking the socket over", e);
        }
        ChannelFuture bound = new ServerBootstrap().group(loop).channel(NioServerDomainSocketChannel.class)
            .childHandler(new ChannelInitializer<Channel>() {
                @Override
                protected void initChannel(Channel channel) {
                    channel.pipeline().addLast(new Telling(memory));
                }
            }).bind(address);
        listener = bound.channel();
        bound.addListener(f -> {
            if (!f.isSuccess()) {
                Log.failure("handover: off", f.cause());
            }
        });
    }

    /** Whether a process lives that has asked for this one's state. */
    public boolean succeeded() {
        return !successors.isEmpty();
    }

    public void close() {
        for (Channel channel : new Channel[] {listener, predecessor}) {
            if (channel != null) {
                channel.close();
            }
        }
        Set.copyOf(successors).forEach(Channel::close);
    }

    private final class Telling extends ChannelInboundHandlerAdapter {
        private final Supplier<Map<String, BalancerSnapshot>> memory;
        private final byte[] expected = HandoverMessage.hello(node);
        private int heard;

        Telling(Supplier<Map<String, BalancerSnapshot>> memory) {
            this.memory = memory;
        }

        @Override
        public void channelActive(ChannelHandlerContext context) {
            if (successors.size() >= MOST_SUCCESSORS) {
                context.close();
                return;
            }
            loop.schedule(() -> {
                if (heard < expected.length) {
                    context.close();
                }
            }, LONGEST_HELLO_MS, TimeUnit.MILLISECONDS);
        }

        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            ByteBuf in = (ByteBuf) message;
            try {
                while (in.isReadable()) {
                    if (heard == expected.length || in.readByte() != expected[heard++]) {
                        Log.line("handover: refused: what was asked is not this node's or not of this version");
                        context.close();
                        return;
                    }
                }
            } finally {
                in.release();
            }
            if (heard == expected.length) {
                // It is there, whatever it can be told.
                successors.add(context.channel());
                try {
                    context.writeAndFlush(Unpooled.wrappedBuffer(HandoverMessage.write(memory.get())));
                    Log.line("handover: told to a further process of this node");
                } catch (IOException e) {
                    Log.line("handover: nothing told: " + e.getMessage());
                }
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            successors.remove(context.channel());
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            if (!(cause instanceof IOException)) {
                Log.failure("handover", cause);
            }
            context.close();
        }
    }
}
