package onyxpaddle.serve;

import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.EventLoop;
import io.netty.channel.SingleThreadEventLoop;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

/**
 * A node's event loop that stands still until it is let go, as on a core that others use. What comes to its sockets meanwhile is met in
 * the order in which it came.
 */
final class BlockedEventLoop {
    private final CountDownLatch stands = new CountDownLatch(1);
    private final CountDownLatch go = new CountDownLatch(1);
    private final SingleThreadEventLoop loop;
    private final BooleanSupplier reached;

    private BlockedEventLoop(EventLoop loop, BooleanSupplier reached) {
        this.loop = (SingleThreadEventLoop) loop;
        this.reached = reached;
    }

    /** Returns once it stands. */
    BlockedEventLoop(EventLoop loop) throws InterruptedException {
        this(loop, () -> true);
        loop.execute(this::stand);
        awaitBlocked();
    }

    /**
     * Asks this on the loop in each of its turns, after its sockets are dealt with, and lets it stand in the turn after the first in which
     * it holds: a turn is waited for by no thread of the test's, so that what has just begun is not overdue before the stop, as it may be
     * where the test itself stops the loop on a busy machine. In that one more turn the system forgets which sockets were read last, so
     * that those to which something comes during the stop are met in that order.
     */
    static BlockedEventLoop blockWhen(EventLoop loop, BooleanSupplier reached) {
        BlockedEventLoop held = new BlockedEventLoop(loop, reached);
        loop.execute(held::standOnceReached);
        return held;
    }

    private void standOnceReached() {
        inTheNextTurn(reached.getAsBoolean() ? this::stand : this::standOnceReached);
    }

    /** As its first task: what waits in the queue of tasks comes before what falls due by time. */
    private void inTheNextTurn(Runnable task) {
        loop.executeAfterEventLoopIteration(() -> loop.execute(task));
    }

    private void stand() {
        stands.countDown();
        try {
            go.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    BlockedEventLoop awaitBlocked() throws InterruptedException {
        assertTrue(stands.await(Loopback.TIMEOUT_MS, TimeUnit.MILLISECONDS), "the loop never came to where it should stand");
        return this;
    }

    void release() {
        go.countDown();
    }

    /** Lets it go after it has stood for so long: this is the fault, and not a wait for something. */
    void releaseAfter(long millis) throws InterruptedException {
        TimeUnit.MILLISECONDS.sleep(millis);
        release();
    }
}
