package onyxpaddle.serve;

import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.EventLoop;
import io.netty.channel.SingleThreadEventLoop;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

/**
 * Blocks a node's event loop until it is released, as when its thread gets no processor time. The loop then finds what came to its sockets
 * in the order of arrival.
 */
final class BlockedEventLoop {
    private final CountDownLatch blocked = new CountDownLatch(1);
    private final CountDownLatch released = new CountDownLatch(1);
    private final SingleThreadEventLoop loop;
    private final BooleanSupplier condition;

    private BlockedEventLoop(EventLoop loop, BooleanSupplier condition) {
        this.loop = (SingleThreadEventLoop) loop;
        this.condition = condition;
    }

    /** Blocks the loop at once, and returns when it is blocked. */
    BlockedEventLoop(EventLoop loop) throws InterruptedException {
        this(loop, () -> true);
        loop.execute(this::block);
        awaitBlocked();
    }

    /**
     * Evaluates a condition on the loop in each iteration, after its sockets are processed, and blocks the loop in the iteration after the
     * first in which the condition holds. No thread of the test has to be scheduled for that: on a busy machine, an attempt that has just
     * begun could otherwise be overdue before the loop is blocked. During the one more iteration the kernel's ready list forgets which
     * sockets were read last, so that sockets that become readable while the loop is blocked are processed in that order.
     */
    static BlockedEventLoop blockWhen(EventLoop loop, BooleanSupplier condition) {
        BlockedEventLoop result = new BlockedEventLoop(loop, condition);
        loop.execute(result::blockOnceConditionHolds);
        return result;
    }

    private void blockOnceConditionHolds() {
        inNextIteration(condition.getAsBoolean() ? this::block : this::blockOnceConditionHolds);
    }

    /** Queued tasks run before scheduled tasks that are due, so this is the first task of the next iteration. */
    private void inNextIteration(Runnable task) {
        loop.executeAfterEventLoopIteration(() -> loop.execute(task));
    }

    private void block() {
        blocked.countDown();
        try {
            released.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    BlockedEventLoop awaitBlocked() throws InterruptedException {
        assertTrue(blocked.await(Loopback.TIMEOUT_MS, TimeUnit.MILLISECONDS), "the event loop did not reach the point at which to block");
        return this;
    }

    void release() {
        released.countDown();
    }

    /** Releases the loop after this time. The sleep is the fault that the test injects; it does not wait for a condition. */
    void releaseAfter(long millis) throws InterruptedException {
        TimeUnit.MILLISECONDS.sleep(millis);
        release();
    }
}
