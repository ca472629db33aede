package onyxpaddle.control;

import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;

/** Single thread, with a bounded queue, that validates and writes changes to disk. */
final class DiskThread implements AutoCloseable {
    /** A queued job holds at most one request body; callers beyond this limit are asked to retry. */
    private static final int MAX_QUEUED = 64;
    private static final int SHUTDOWN_SECONDS = 10;

    private final ThreadPoolExecutor executor = new ThreadPoolExecutor(1, 1, 0, TimeUnit.SECONDS, new ArrayBlockingQueue<>(MAX_QUEUED),
        task -> {
            Thread thread = new Thread(task, "control-disk");
            thread.setDaemon(true);
            return thread;
        });

    /** Returns false if the queue is full. */
    boolean tryExecute(Runnable job) {
        try {
            executor.execute(job);
            return true;
        } catch (RejectedExecutionException e) {
            return false;
        }
    }

    /** Waits for the queued jobs to finish. */
    @Override
    public void close() {
        executor.shutdown();
        try {
            executor.awaitTermination(SHUTDOWN_SECONDS, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
