package onyxpaddle.front;

import io.netty.channel.IoHandle;
import io.netty.channel.IoHandler;
import io.netty.channel.IoHandlerContext;
import io.netty.channel.IoHandlerFactory;
import io.netty.channel.IoRegistration;
import io.netty.channel.SelectStrategy;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.IntSupplier;
import java.nio.channels.spi.SelectorProvider;
import onyxpaddle.node.Clock;
import onyxpaddle.node.NodeDelay;
import onyxpaddle.node.NodeEvents;

/**
 * The clock of a node with one event loop, whose polls it observes. A poll first checks without blocking, and then blocks for a
 * limited time only, so that when data arrived is known within that time.
 */
public final class LoopClock extends Clock {
    /** A third of the time by which a server may be told too much; wakes an idle node 20 times a second. */
    private static final long MAX_BLOCK = 50_000_000L;

    private final PollTimes pollTimes = new PollTimes(now());
    private final NodeEvents events;

    /** {@code events}: where long turns and polls are counted. */
    public LoopClock(NodeEvents events) {
        this.events = events;
    }

    @Override
    public long lastPoll() {
        return pollTimes.lastPoll();
    }

    @Override
    public long turnStart() {
        return pollTimes.turnStart();
    }

    @Override
    public long lag() {
        return pollTimes.lag(now());
    }

    /** Creates the event loop's I/O handler, whose polls this clock observes. */
    public IoHandlerFactory handlerFactory() {
        IoHandlerFactory delegate = NioIoHandler.newFactory(SelectorProvider.provider(), () -> this::poll);
        return executor -> new InstrumentedHandler(delegate.newHandler(executor));
    }

    /** Polls without blocking, and returns what was found; lets the poll block if there is nothing to do. */
    private int poll(IntSupplier selectNow, boolean hasTasks) throws Exception {
        int found = selectNow.get();
        if (found > 0 || hasTasks) {
            return found;
        }
        pollTimes.blocks();
        return SelectStrategy.SELECT;
    }

    /** Delegates all calls and records each poll; a poll has ended when Netty asks whether to time the work that follows it. */
    private final class InstrumentedHandler implements IoHandler {
        private final IoHandler delegate;
        private final InstrumentedContext instrumented = new InstrumentedContext();

        private InstrumentedHandler(IoHandler delegate) {
            this.delegate = delegate;
        }

        @Override
        public int run(IoHandlerContext context) {
            instrumented.delegate = context;
            long now = now();
            events.record(NodeDelay.TURN, pollTimes.pollStarted(now), now);
            int handled = delegate.run(instrumented);
            pollTimes.turnFinished(handled);
            return handled;
        }

        @Override
        public void initialize() {
            delegate.initialize();
        }

        @Override
        public void prepareToDestroy() {
            delegate.prepareToDestroy();
        }

        @Override
        public void destroy() {
            delegate.destroy();
        }

        @Override
        public IoRegistration register(IoHandle handle) throws Exception {
            return delegate.register(handle);
        }

        @Override
        public void wakeup() {
            delegate.wakeup();
        }

        @Override
        public boolean isCompatible(Class<? extends IoHandle> type) {
            return delegate.isCompatible(type);
        }
    }

    private final class InstrumentedContext implements IoHandlerContext {
        private IoHandlerContext delegate;

        @Override
        public boolean canBlock() {
            return delegate.canBlock();
        }

        @Override
        public long delayNanos(long now) {
            long delay = Math.min(MAX_BLOCK, delegate.delayNanos(now));
            pollTimes.mayBlockFor(delay);
            return delay;
        }

        @Override
        public long deadlineNanos() {
            return delegate.deadlineNanos();
        }

        @Override
        public void reportActiveIoTime(long nanos) {
            delegate.reportActiveIoTime(nanos);
        }

        @Override
        public boolean shouldReportActiveIoTime() {
            long now = now();
            events.record(NodeDelay.POLL, pollTimes.pollFinished(now), now);
            return delegate.shouldReportActiveIoTime();
        }
    }
}
