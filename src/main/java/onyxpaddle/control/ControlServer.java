package onyxpaddle.control;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpServerCodec;
import java.io.IOException;
import java.net.InetSocketAddress;
import onyxpaddle.config.HostPort;

/** Listens for callers of a control process. */
final class ControlServer {
    /** More than all nodes and replicas of a fleet of 4,096 at once, some of them twice while they change over. */
    static final int MOST_CONNECTIONS = 8_192;
    private static final int BACKLOG = 4_096;
    /** A node's report with a fault of 300 characters, all of them escaped, is under 2 KB. */
    private static final int LONGEST_LINE = 8 << 10;
    private static final int LONGEST_HEADERS = 8 << 10;
    private static final int LARGEST_PIECE = 16 << 10;

    private final EventLoop loop;
    private final ControlConnection.Calls calls;
    private final ChannelGroup connections;
    private Channel listener;

    ControlServer(EventLoop loop, ControlConnection.Calls calls) {
        this.loop = loop;
        this.calls = calls;
        connections = new DefaultChannelGroup(loop);
    }

    /** Listens from now on. */
    void listen(HostPort at, ByteBufAllocator allocator) throws IOException {
        ServerBootstrap bootstrap = new ServerBootstrap().group(loop).channel(NioServerSocketChannel.class)
            .option(ChannelOption.SO_BACKLOG, BACKLOG)
            .option(ChannelOption.SO_REUSEADDR, true)
            .childOption(ChannelOption.ALLOCATOR, allocator)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childHandler(new ChannelInitializer<SocketChannel>() {
                @Override
                protected void initChannel(SocketChannel channel) {
                    taken(channel);
                }
            });
        try {
            listener = bootstrap.bind(new InetSocketAddress(at.host(), at.port())).sync().channel();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted", e);
        } catch (RuntimeException e) {
            throw e;
        } catch (Exception e) {
            // Netty throws what the socket did, checked or not.
            throw new IOException("cannot listen at " + at + ": " + e.getMessage(), e);
        }
    }

    private void taken(SocketChannel channel) {
        if (connections.size() >= MOST_CONNECTIONS) {
            channel.close();
            return;
        }
        connections.add(channel);
        channel.pipeline().addLast(new HttpServerCodec(LONGEST_LINE, LONGEST_HEADERS, LARGEST_PIECE), new ControlConnection(calls));
    }

    InetSocketAddress address() {
        return (InetSocketAddress) listener.localAddress();
    }

    /** Whether it has listened at all. */
    boolean listening() {
        return listener != null;
    }

    /** Takes no more connections. */
    void stopListening() {
        listener.close().syncUninterruptibly();
    }

    /** Closes all connections once what was written to them has gone out. */
    void closeConnections() {
        connections.close().awaitUninterruptibly();
    }
}
