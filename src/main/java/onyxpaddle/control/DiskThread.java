package onyxpaddle.control;

import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;

/** The one thread that writes to disk, and checks what is to be written. Its queue is bounded. */
final class DiskThread implements AutoCloseable {
    /** Each holds a body of changes at most; callers beyond are told to come again. */
    private static final int MOST_QUEUED = 64;
    private static final int LAST_WRITE_SECONDS = 10;

    private final ThreadPoolExecutor executor = new ThreadPoolExecutor(1, 1, 0, TimeUnit.SECONDS, new ArrayBlockingQueue<>(MOST_QUEUED),
        task -> {
            Thread thread = new Thread(task, "control-disk");
            thread.setDaemon(true);
            return thread;
        });

    /** Whether the job was taken. */
    boolean run(Runnable job) {
        try {
            executor.execute(job);
            return true;
        } catch (RejectedExecutionException e) {
            return false;
        }
    }

    /** Lets what is queued end. */
    @Override
    public void close() {
        executor.shutdown();
        try {
            executor.awaitTermination(LAST_WRITE_SECONDS, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
