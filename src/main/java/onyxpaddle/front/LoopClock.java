package onyxpaddle.front;

import io.netty.channel.IoHandle;
import io.netty.channel.IoHandler;
import io.netty.channel.IoHandlerContext;
import io.netty.channel.IoHandlerFactory;
import io.netty.channel.IoRegistration;
import onyxpaddle.node.Clock;

/** The clock of a node with one event loop, whose polls it observes. */
public final class LoopClock extends Clock {
    private final PollTimes pollTimes = new PollTimes();

    @Override
    public long earliestArrival() {
        return pollTimes.earliestArrival(now());
    }

    @Override
    public long lag() {
        return pollTimes.lag();
    }

    /** Wraps the factory of the event loop's I/O handler so that this clock observes its polls. */
    public IoHandlerFactory instrument(IoHandlerFactory delegate) {
        return executor -> new InstrumentedHandler(delegate.newHandler(executor));
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
            pollTimes.pollStarted(now());
            return delegate.run(instrumented);
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
            long delay = delegate.delayNanos(now);
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
            pollTimes.pollFinished(now());
            return delegate.shouldReportActiveIoTime();
        }
    }
}
