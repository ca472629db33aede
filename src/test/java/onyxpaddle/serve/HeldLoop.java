package onyxpaddle.serve;

import io.netty.channel.EventLoop;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/**
 * A node's event loop that stands still until it is let go, as on a core that others use. What comes to its sockets meanwhile is met in
 * the order in which it came.
 */
final class HeldLoop {
    private final CountDownLatch go = new CountDownLatch(1);

    /** Returns once it stands. */
    HeldLoop(EventLoop loop) throws InterruptedException {
        CountDownLatch held = new CountDownLatch(1);
        loop.execute(() -> {
            held.countDown();
            try {
                go.await();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
        held.await();
    }

    /** Lets it go after it has stood for so long: this is the fault, and not a wait for something. */
    void releaseAfter(long millis) throws InterruptedException {
        TimeUnit.MILLISECONDS.sleep(millis);
        go.countDown();
    }
}
