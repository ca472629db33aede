package onyxpaddle.socket;

import io.netty.channel.IoEventLoop;
import io.netty.channel.IoHandlerFactory;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.SingleThreadIoEventLoop;
import io.netty.util.concurrent.DefaultThreadFactory;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.ThreadFactory;
import java.util.concurrent.TimeUnit;
import onyxpaddle.node.Log;

/**
 * An event loop whose scheduled tasks report their failures. Netty keeps a failure in the task's future, which nobody asks, and a periodic
 * task that failed does not run again.
 */
public final class NodeEventLoop extends SingleThreadIoEventLoop {
    private NodeEventLoop(MultiThreadIoEventLoopGroup group, Executor executor, IoHandlerFactory handlers) {
        super(group, executor, handlers);
    }

    /** Creates a group of one such event loop. */
    public static MultiThreadIoEventLoopGroup group(IoHandlerFactory handlers) {
        return group(new DefaultThreadFactory("event-loop"), handlers);
    }

    /** Creates a group of one such event loop on a thread of this factory. */
    public static MultiThreadIoEventLoopGroup group(ThreadFactory threads, IoHandlerFactory handlers) {
        return new MultiThreadIoEventLoopGroup(1, threads, handlers) {
            @Override
            protected IoEventLoop newChild(Executor executor, IoHandlerFactory childHandlers, Object... arguments) {
                return new NodeEventLoop(this, executor, childHandlers);
            }
        };
    }

    private static Runnable reporting(Runnable task) {
        return () -> {
            try {
                task.run();
            } catch (RuntimeException | Error e) {
                Log.failure("scheduled task", e);
                throw e;
            }
        };
    }

    @Override
    public ScheduledFuture<?> schedule(Runnable task, long delay, TimeUnit unit) {
        return super.schedule(reporting(task), delay, unit);
    }

    @Override
    public ScheduledFuture<?> scheduleAtFixedRate(Runnable task, long initialDelay, long period, TimeUnit unit) {
        return super.scheduleAtFixedRate(reporting(task), initialDelay, period, unit);
    }

    @Override
    public ScheduledFuture<?> scheduleWithFixedDelay(Runnable task, long initialDelay, long delay, TimeUnit unit) {
        return super.scheduleWithFixedDelay(reporting(task), initialDelay, delay, unit);
    }
}
