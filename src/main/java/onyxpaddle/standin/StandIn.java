package onyxpaddle.standin;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.util.concurrent.GlobalEventExecutor;
import java.net.InetSocketAddress;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;

/**
 * Base class of the stand-in servers: a loopback listener, a counter of executed requests, an answer delay, scripted faults, and
 * freezing.
 */
abstract class StandIn<S extends StandIn<S>> implements AutoCloseable {
    private static final long RECHECK_MS = 5;

    final String name;
    final ExecutionCounter executions;
    final ChannelGroup open = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);
    volatile boolean refuses;
    volatile FaultScript faults = FaultScript.none();
    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private Channel listener;
    private volatile long delayMillis;
    private volatile long jitterMillis;
    private volatile boolean frozen;
    private volatile boolean held;

    StandIn(String name, ExecutionCounter executions) {
        this.name = name;
        this.executions = executions;
    }

    /** Returns this object as its own type. */
    abstract S self();

    /** The handlers for a new connection. */
    abstract ChannelHandler[] handlers();

    /** {@code port}: 0 for a free one. */
    final void listen(int port) throws Exception {
        try {
            listener = new ServerBootstrap().group(group).channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_BACKLOG, 4096)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        open.add(channel);
                        channel.config().setAutoRead(!frozen);
                        channel.pipeline().addLast(handlers());
                    }
                }).bind("127.0.0.1", port).sync().channel();
        } catch (Exception e) {
            group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
            throw e;
        }
    }

    public final InetSocketAddress address() {
        return (InetSocketAddress) listener.localAddress();
    }

    public final String hostPort() {
        return "127.0.0.1:" + address().getPort();
    }

    /** Delays each answer by {@code millis} plus a random part of {@code jitter}. */
    public final S delay(long millis, long jitter) {
        delayMillis = millis;
        jitterMillis = jitter;
        return self();
    }

    /** Sets the faults of further answers. */
    public final S faults(FaultScript script) {
        faults = script;
        return self();
    }

    /** Stops all reading and answering, like a stopped process, or resumes it. */
    public final S frozen(boolean on) {
        frozen = on;
        open.forEach(channel -> channel.config().setAutoRead(!on));
        return self();
    }

    /** Holds back answers while requests are still read and executed, or releases them. */
    public final S held(boolean on) {
        held = on;
        return self();
    }

    /** Refuses each request without executing it, or serves again. */
    public final S refuses(boolean on) {
        refuses = on;
        return self();
    }

    /** The counter of executed requests, which several stand-ins may share. */
    public final ExecutionCounter executions() {
        return executions;
    }

    /** The delay of the next answer in milliseconds. */
    final long nextDelay() {
        return delayMillis + (jitterMillis > 0 ? ThreadLocalRandom.current().nextLong(jitterMillis + 1) : 0);
    }

    /** Runs the action after the delay, but not while answers are frozen or held. */
    final void after(ChannelHandlerContext context, long millis, Runnable action) {
        if (frozen || held) {
            context.executor().schedule(() -> after(context, 0, action), RECHECK_MS, TimeUnit.MILLISECONDS);
        } else if (millis <= 0) {
            action.run();
        } else {
            context.executor().schedule(() -> after(context, 0, action), millis, TimeUnit.MILLISECONDS);
        }
    }

    @Override
    public final void close() {
        listener.close().syncUninterruptibly();
        open.close().syncUninterruptibly();
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }
}
