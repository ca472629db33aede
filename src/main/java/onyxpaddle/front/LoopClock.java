package onyxpaddle.front;

import io.netty.channel.IoHandle;
import io.netty.channel.IoHandler;
import io.netty.channel.IoHandlerContext;
import io.netty.channel.IoHandlerFactory;
import io.netty.channel.IoRegistration;
import onyxpaddle.node.Clock;

/** The clock of a node with one event loop, which tells it when it looks at its sockets. */
public final class LoopClock extends Clock {
    private final PollTimes looks = new PollTimes();

    @Override
    public long earliestArrival() {
        return looks.earliestArrival(now());
    }

    @Override
    public long lag() {
        return looks.lag();
    }

    /** Makes the handler of the loop that this is the clock of. */
    public IoHandlerFactory instrument(IoHandlerFactory inner) {
        return executor -> new Watched(inner.newHandler(executor));
    }

    /** Passes everything on, and tells when a look begins and ends: Netty asks whether to time its work right after the one. */
    private final class Watched implements IoHandler {
        private final IoHandler inner;
        private final Asked asked = new Asked();

        private Watched(IoHandler inner) {
            this.inner = inner;
        }

        @Override
        public int run(IoHandlerContext context) {
            asked.of = context;
            looks.begins(now());
            return inner.run(asked);
        }

        @Override
        public void initialize() {
            inner.initialize();
        }

        @Override
        public void prepareToDestroy() {
            inner.prepareToDestroy();
        }

        @Override
        public void destroy() {
            inner.destroy();
        }

        @Override
        public IoRegistration register(IoHandle handle) throws Exception {
            return inner.register(handle);
        }

        @Override
        public void wakeup() {
            inner.wakeup();
        }

        @Override
        public boolean isCompatible(Class<? extends IoHandle> type) {
            return inner.isCompatible(type);
        }
    }

    private final class Asked implements IoHandlerContext {
        private IoHandlerContext of;

        @Override
        public boolean canBlock() {
            return of.canBlock();
        }

        @Override
        public long delayNanos(long now) {
            long delay = of.delayNanos(now);
            looks.waits(delay);
            return delay;
        }

        @Override
        public long deadlineNanos() {
            return of.deadlineNanos();
        }

        @Override
        public void reportActiveIoTime(long nanos) {
            of.reportActiveIoTime(nanos);
        }

        @Override
        public boolean shouldReportActiveIoTime() {
            looks.looked(now());
            return of.shouldReportActiveIoTime();
        }
    }
}
