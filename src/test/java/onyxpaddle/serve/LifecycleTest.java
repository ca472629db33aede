package onyxpaddle.serve;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import onyxpaddle.node.Dispatcher;
import onyxpaddle.node.RequestCounts;
import org.junit.jupiter.api.Test;

/** When a process was told to end: by that, and not by when its loop has time for it, SIGKILL counts. */
class LifecycleTest {
    /** Serves nothing, and keeps when it was told to end. */
    private static final class Nothing implements Lifecycle.Work {
        final CompletableFuture<Long> heard = new CompletableFuture<>();
        volatile long late;

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
        public void end(long at, long heardLate, boolean replaced, Runnable done) {
            late = heardLate;
            heard.complete(at);
            done.run();
        }

        @Override
        public void close() {
        }
    }

    @Test
    void theEndCountsFromWhenItWasToldAndNotFromWhenTheLoopIsFree() throws Exception {
        Nothing work = new Nothing();
        Lifecycle life = new Lifecycle(work);
        life.start(new Lifecycle.Options("n0", null, null, 10));
        CountDownLatch busy = new CountDownLatch(1);
        life.loop.execute(() -> {
            try {
                busy.await();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
        Thread drain = new Thread(life::drain);
        drain.start();
        Loopback.await(() -> drain.getState() == Thread.State.TIMED_WAITING);
        long told = life.clock.now();
        busy.countDown();
        assertTrue(work.heard.get() <= told);
        assertTrue(work.late >= 3 * (told - work.heard.get()), "three threads waited before, each as long as the loop's task did");
        drain.join();
        life.stop();
    }
}
