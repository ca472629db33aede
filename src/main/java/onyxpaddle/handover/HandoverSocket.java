package onyxpaddle.handover;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandler;
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
import onyxpaddle.node.FatalErrors;
import onyxpaddle.node.Log;

/**
 * The Unix domain socket over which a node's next process requests the learnt state of the running one. A connection that has made its
 * request and is still open is a live successor: this is how the running process knows at SIGTERM that another one listens in its
 * place. State that is truncated, of another version or of another node is refused. Either side may hang or die at any step, as the
 * other one waits for a bounded time and then continues alone. Drawback: two nodes of the same name must not share a folder, as they
 * would be mistaken for processes of one node.
 */
public final class HandoverSocket {
    /** How long the new process waits for the state; after that it starts without. */
    private static final long STATE_TIMEOUT_MS = 500;
    private static final long REQUEST_TIMEOUT_MS = 1_000;
    private static final int MAX_SUCCESSORS = 4;
    private static final int SMALL_BUFFER = 256;

    private final EventLoop loop;
    private final String node;
    private final UnixDomainSocketAddress address;
    private final RunChannel runs;
    private final Set<Channel> successors = new HashSet<>();
    private Channel listener;
    private Channel predecessor;

    private HandoverSocket(EventLoop loop, String node, UnixDomainSocketAddress address, RunRegister register) {
        this.runs = new RunChannel(register);
        this.loop = loop;
        this.node = node;
        this.address = address;
    }

    /** The socket in a folder; null if there is no folder or the path is too long for a Unix domain socket (about 100 bytes). */
    public static HandoverSocket in(String folder, String node, EventLoop loop, RunRegister register) {
        if (folder == null || folder.isEmpty()) {
            return null;
        }
        String file = "node-" + Integer.toHexString(node.hashCode()) + ".sock";
        Path path = Path.of(folder, file);
        if (path.toString().getBytes(java.nio.charset.StandardCharsets.UTF_8).length > 100) {
            Log.line("handover: disabled, the path of the socket is too long: " + path);
            return null;
        }
        return new HandoverSocket(loop, node, UnixDomainSocketAddress.of(path), register);
    }

    // ---- new process ----

    /**
     * Requests the state of the running process, if there is one. The callback is called once, with whether such a process exists and
     * its state by pool, or null. The connection stays open for the lifetime of this process.
     */
    public void requestState(StateCallback done) {
        if (!Files.exists(address.getPath())) {
            done.completed(false, null);
            return;
        }
        StateReceiver receiver = new StateReceiver(done);
        request(receiver, HandoverMessage.VERSION);
        loop.schedule(() -> receiver.timeOut(), STATE_TIMEOUT_MS, TimeUnit.MILLISECONDS);
    }

    private void request(StateReceiver receiver, int version) {
        receiver.version = version;
        ChannelFuture connect = new Bootstrap().group(loop).channel(NioDomainSocketChannel.class)
            .handler(new ChannelInitializer<Channel>() {
                @Override
                protected void initChannel(Channel channel) {
                    channel.pipeline().addLast(receiver);
                }
            }).connect(address);
        connect.addListener(f -> {
            if (f.isSuccess()) {
                predecessor = connect.channel();
                predecessor.writeAndFlush(Unpooled.wrappedBuffer(HandoverMessage.request(node, version)));
            } else {
                // Socket file left by a process that has ended.
                receiver.finish(false, null);
            }
        });
    }

    /** Tells the other processes of this node about a request. */
    public void tell(RunMessage message) {
        runs.tell(message);
    }

    /** Receives the state of the running process. */
    public interface StateCallback {
        void completed(boolean present, Map<String, BalancerSnapshot> pools);
    }

    /** Receives the state, and then what the running process tells of requests. It serves one connection after another. */
    @ChannelHandler.Sharable
    private final class StateReceiver extends ChannelInboundHandlerAdapter {
        private final StateCallback done;
        private ByteBuf received = Unpooled.buffer(SMALL_BUFFER, HandoverMessage.HEADER_SIZE + HandoverMessage.MAX_PAYLOAD);
        /** What was asked for. */
        private int version;
        private boolean finished;
        private boolean stateRead;

        StateReceiver(StateCallback done) {
            this.done = done;
        }

        private void finish(boolean present, Map<String, BalancerSnapshot> pools) {
            if (!finished) {
                finished = true;
                done.completed(present, pools);
            }
        }

        private void timeOut() {
            if (!finished) {
                Log.line("handover: the running process said nothing whole in " + STATE_TIMEOUT_MS + " ms");
                finish(predecessor != null && predecessor.isActive(), null);
            }
        }

        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            ByteBuf in = (ByteBuf) message;
            try {
                if (in.readableBytes() > received.discardReadBytes().maxWritableBytes()) {
                    throw new IOException("handover message exceeds the maximum length");
                }
                received.writeBytes(in);
                if (stateRead || readState()) {
                    runs.received(context.channel(), received);
                }
            } catch (IOException e) {
                Log.line("handover: state refused: " + e.getMessage());
                finish(true, null);
                // Nothing that follows can be read; the connection stays, as it says that this process is alive.
                context.pipeline().remove(this);
            } finally {
                in.release();
            }
        }

        /** Whether the state has been read. */
        private boolean readState() throws IOException {
            if (received.readableBytes() < HandoverMessage.HEADER_SIZE) {
                return false;
            }
            byte[] header = new byte[HandoverMessage.HEADER_SIZE];
            received.getBytes(received.readerIndex(), header);
            int whole = HandoverMessage.HEADER_SIZE + HandoverMessage.length(header);
            if (received.readableBytes() < whole) {
                return false;
            }
            byte[] state = new byte[whole];
            received.readBytes(state);
            received = Unpooled.buffer(SMALL_BUFFER, HandoverMessage.MAX_PAYLOAD).writeBytes(received);
            stateRead = true;
            finish(true, HandoverMessage.read(state));
            return true;
        }

        @Override
        public void channelWritabilityChanged(ChannelHandlerContext context) {
            runs.writabilityChanged(context.channel());
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            runs.remove(context.channel());
            predecessor = null;
            if (!finished && version == HandoverMessage.VERSION && received.writerIndex() == 0) {
                // One of an earlier version refuses what it does not know.
                request(this, HandoverMessage.VERSION_WITHOUT_RUNS);
            } else {
                finish(false, null);
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            FatalErrors.check("handover", cause);
            context.close();
        }
    }

    // ---- running process ----

    /** Starts answering requests of the next process; replaces the socket file of the previous one. */
    public void listen(Supplier<Map<String, BalancerSnapshot>> memory) {
        try {
            Files.deleteIfExists(address.getPath());
        } catch (IOException e) {
            Log.failure("handover: replacing the socket file", e);
        }
        ChannelFuture bound = new ServerBootstrap().group(loop).channel(NioServerDomainSocketChannel.class)
            .childHandler(new ChannelInitializer<Channel>() {
                @Override
                protected void initChannel(Channel channel) {
                    channel.pipeline().addLast(new StateSender(memory));
                }
            }).bind(address);
        listener = bound.channel();
        bound.addListener(f -> {
            if (!f.isSuccess()) {
                Log.failure("handover: disabled, cannot listen", f.cause());
            }
        });
    }

    /** Whether a process that has requested this one's state is alive. */
    public boolean hasSuccessor() {
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

    private final class StateSender extends ChannelInboundHandlerAdapter {
        private final Supplier<Map<String, BalancerSnapshot>> memory;
        private final ByteBuf received = Unpooled.buffer(SMALL_BUFFER);
        private boolean answered;

        StateSender(Supplier<Map<String, BalancerSnapshot>> memory) {
            this.memory = memory;
        }

        @Override
        public void channelActive(ChannelHandlerContext context) {
            if (successors.size() >= MAX_SUCCESSORS) {
                context.close();
                return;
            }
            loop.schedule(() -> {
                if (!answered) {
                    context.close();
                }
            }, REQUEST_TIMEOUT_MS, TimeUnit.MILLISECONDS);
        }

        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            ByteBuf in = (ByteBuf) message;
            try {
                received.discardReadBytes().writeBytes(in);
                if (answered) {
                    runs.received(context.channel(), received);
                } else {
                    answer(context.channel());
                }
            } catch (IOException e) {
                Log.line("handover: closed: " + e.getMessage());
                context.close();
            } finally {
                in.release();
            }
        }

        private void answer(Channel channel) throws IOException {
            for (int version : new int[] {HandoverMessage.VERSION, HandoverMessage.VERSION_WITHOUT_RUNS}) {
                byte[] expected = HandoverMessage.request(node, version);
                byte[] begun = new byte[Math.min(received.readableBytes(), expected.length)];
                received.getBytes(received.readerIndex(), begun);
                if (Arrays.equals(begun, 0, begun.length, expected, 0, begun.length)) {
                    if (begun.length == expected.length) {
                        received.skipBytes(begun.length);
                        send(channel, version);
                    }
                    return;
                }
            }
            throw new IOException("the request is for another node or of another version");
        }

        private void send(Channel channel, int version) {
            answered = true;
            // The successor is alive even if it gets no state.
            successors.add(channel);
            try {
                channel.writeAndFlush(Unpooled.wrappedBuffer(HandoverMessage.write(memory.get(), version)));
                Log.line("handover: told to a further process of this node");
            } catch (IOException e) {
                Log.line("handover: no state sent: " + e.getMessage());
                return;
            }
            if (version == HandoverMessage.VERSION) {
                runs.add(channel);
            }
        }

        @Override
        public void channelWritabilityChanged(ChannelHandlerContext context) {
            runs.writabilityChanged(context.channel());
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            successors.remove(context.channel());
            runs.remove(context.channel());
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
