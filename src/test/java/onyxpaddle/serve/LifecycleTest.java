package onyxpaddle.serve;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import onyxpaddle.node.Dispatcher;
import onyxpaddle.node.RequestCounts;
import org.junit.jupiter.api.Test;

/** The drain counts from the moment of the signal, as the time until SIGKILL does, and not from when the event loop processes it. */
class LifecycleTest {
    /** Serves nothing, and records when it was told to end. */
    private static final class IdleWork implements Lifecycle.Work {
        final CompletableFuture<Long> drainStart = new CompletableFuture<>();
        volatile long delay;

        @Override
        public void build() {
        }

        @Override
        public CompletableFuture<Void> listen() {
            return CompletableFuture.completedFuture(null);
        }

        @Override
        public boolean ready() {
            return true;
        }

        @Override
        public Map<String, Dispatcher> pools() {
            return Map.of();
        }

        @Override
        public List<Dispatcher> retiredPools() {
            return List.of();
        }

        @Override
        public String bgpReport() {
            return null;
        }

        @Override
        public RequestCounts tally() {
            return new RequestCounts(List.of());
        }

        @Override
        public void end(long at, long observedDelay, boolean replaced, Runnable done) {
            delay = observedDelay;
            drainStart.complete(at);
            done.run();
        }

        @Override
        public void close() {
        }
    }

    @Test
    void drainCountsFromTheSignalAndNotFromWhenTheLoopIsFree() throws Exception {
        IdleWork work = new IdleWork();
        Lifecycle lifecycle = new Lifecycle(work);
        lifecycle.start(new Lifecycle.Options("n0", null, null, 10));
        CountDownLatch release = new CountDownLatch(1);
        lifecycle.loop.execute(() -> {
            try {
                release.await();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
        Thread drain = new Thread(lifecycle::drain);
        drain.start();
        Loopback.await(() -> drain.getState() == Thread.State.TIMED_WAITING);
        long released = lifecycle.clock.now();
        release.countDown();
        assertTrue(work.drainStart.get() <= released);
        assertTrue(work.delay >= 3 * (released - work.drainStart.get()),
            "the delay must allow for three threads that waited as long as the loop's task did");
        drain.join();
        lifecycle.stop();
    }
}
