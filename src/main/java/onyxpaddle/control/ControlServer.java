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

/** Listening socket of a control process. */
final class ControlServer {
    /** More than all nodes and replicas of a fleet of 4,096, some of which have two connections while they switch processes. */
    static final int MAX_CONNECTIONS = 8_192;
    private static final int BACKLOG = 4_096;
    /** A node's request line is under 2 KB even if its fault of 300 characters is escaped entirely. */
    private static final int MAX_REQUEST_LINE_BYTES = 8 << 10;
    private static final int MAX_HEADER_BYTES = 8 << 10;
    private static final int MAX_CHUNK_BYTES = 16 << 10;

    private final EventLoop loop;
    private final ControlConnection.RequestHandler requestHandler;
    private final ChannelGroup connections;
    private Channel listener;

    ControlServer(EventLoop loop, ControlConnection.RequestHandler requestHandler) {
        this.loop = loop;
        this.requestHandler = requestHandler;
        connections = new DefaultChannelGroup(loop);
    }

    /** Binds the listening socket. */
    void listen(HostPort bindAddress, ByteBufAllocator allocator) throws IOException {
        ServerBootstrap bootstrap = new ServerBootstrap().group(loop).channel(NioServerSocketChannel.class)
            .option(ChannelOption.SO_BACKLOG, BACKLOG)
            .option(ChannelOption.SO_REUSEADDR, true)
            .childOption(ChannelOption.ALLOCATOR, allocator)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childHandler(new ChannelInitializer<SocketChannel>() {
                @Override
                protected void initChannel(SocketChannel channel) {
                    onAccept(channel);
                }
            });
        try {
            listener = bootstrap.bind(new InetSocketAddress(bindAddress.host(), bindAddress.port())).sync().channel();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted", e);
        } catch (RuntimeException e) {
            throw e;
        } catch (Exception e) {
            // Netty rethrows the exception of the socket, which may be checked.
            throw new IOException("cannot listen at " + bindAddress + ": " + e.getMessage(), e);
        }
    }

    private void onAccept(SocketChannel channel) {
        if (connections.size() >= MAX_CONNECTIONS) {
            channel.close();
            return;
        }
        connections.add(channel);
        channel.pipeline().addLast(new HttpServerCodec(MAX_REQUEST_LINE_BYTES, MAX_HEADER_BYTES, MAX_CHUNK_BYTES),
            new ControlConnection(requestHandler));
    }

    InetSocketAddress address() {
        return (InetSocketAddress) listener.localAddress();
    }

    /** Whether {@link #listen} has succeeded. */
    boolean started() {
        return listener != null;
    }

    /** Stops accepting connections. */
    void stopListening() {
        listener.close().syncUninterruptibly();
    }

    /** Closes all connections after their pending writes. */
    void closeConnections() {
        connections.close().awaitUninterruptibly();
    }
}
