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
 * What all stand-ins share, whatever they speak: a listener on loopback, a ledger of what ran, a delay, scripted faults, and
 * standing still.
 */
abstract class StandIn<S extends StandIn<S>> implements AutoCloseable {
    private static final long THAW_MS = 5;

    final String name;
    final ExecutionCounter ledger;
    final ChannelGroup open = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);
    volatile boolean refuses;
    volatile FaultScript faults = FaultScript.none();
    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private Channel listener;
    private volatile long delayMillis;
    private volatile long jitterMillis;
    private volatile boolean frozen;
    private volatile boolean held;

    StandIn(String name, ExecutionCounter ledger) {
        this.name = name;
        this.ledger = ledger;
    }

    /** This one, by its own type. */
    abstract S self();

    /** What speaks on a new connection. */
    abstract ChannelHandler[] handlers();

    /** {@code port}: 0 for one that the system chooses. */
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

    /** Each answer comes after so many milliseconds, and up to so many more. */
    public final S delay(long millis, long jitter) {
        delayMillis = millis;
        jitterMillis = jitter;
        return self();
    }

    /** What goes wrong with its answers from now on. */
    public final S faults(FaultScript script) {
        faults = script;
        return self();
    }

    /** From now on it reads and answers nothing, as a process that has stopped; or it goes on where it stopped. */
    public final S frozen(boolean on) {
        frozen = on;
        open.forEach(channel -> channel.config().setAutoRead(!on));
        return self();
    }

    /** From now on it reads and runs requests and keeps the answers to itself; or it gives them. */
    public final S held(boolean on) {
        held = on;
        return self();
    }

    /** From now on it turns each request away unseen, or serves again. */
    public final S refuses(boolean on) {
        refuses = on;
        return self();
    }

    /** What has run, here and at those that share the ledger. */
    public final ExecutionCounter ledger() {
        return ledger;
    }

    /** How long the next answer takes, in milliseconds. */
    final long nextDelay() {
        return delayMillis + (jitterMillis > 0 ? ThreadLocalRandom.current().nextLong(jitterMillis + 1) : 0);
    }

    /** Does it after so long, and not while it stands still. */
    final void after(ChannelHandlerContext context, long millis, Runnable then) {
        if (frozen || held) {
            context.executor().schedule(() -> after(context, 0, then), THAW_MS, TimeUnit.MILLISECONDS);
        } else if (millis <= 0) {
            then.run();
        } else {
            context.executor().schedule(() -> after(context, 0, then), millis, TimeUnit.MILLISECONDS);
        }
    }

    @Override
    public final void close() {
        listener.close().syncUninterruptibly();
        open.close().syncUninterruptibly();
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }
}
