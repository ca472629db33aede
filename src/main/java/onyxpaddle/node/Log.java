package onyxpaddle.node;

import java.util.concurrent.ArrayBlockingQueue;

/**
 * Logs lines to standard error. A daemon thread writes them, so that a pipe that nobody reads never blocks the event
 * loop. The queue and the number of lines per second are bounded; the number of dropped lines is logged.
 */
public final class Log {
    private static final int MAX_LINES_PER_SECOND = 30;
    private static final int MAX_LENGTH = 400;
    private static final ArrayBlockingQueue<String> QUEUE = new ArrayBlockingQueue<>(256);

    private static long currentSecond;
    private static int linesThisSecond;
    private static int dropped;

    static {
        Thread writer = new Thread(Log::write, "log");
        writer.setDaemon(true);
        writer.start();
    }

    private Log() {
    }

    public static synchronized void line(String text) {
        long now = System.nanoTime() / 1_000_000_000L;
        if (now != currentSecond) {
            currentSecond = now;
            linesThisSecond = 0;
            if (dropped > 0) {
                QUEUE.offer(dropped + " log lines dropped");
                dropped = 0;
            }
        }
        String truncated = text.length() > MAX_LENGTH ? text.substring(0, MAX_LENGTH) : text;
        if (++linesThisSecond > MAX_LINES_PER_SECOND || !QUEUE.offer(truncated.replaceAll("\\p{Cntrl}", "?"))) {
            dropped++;
        }
    }

    /** Logs a failure; one that is an {@link Error} ends the process. */
    public static void failure(String message, Throwable cause) {
        FatalErrors.check(message, cause);
        StackTraceElement[] trace = cause.getStackTrace();
        line(message + ": " + cause + (trace.length > 0 ? " at " + trace[0] : ""));
    }

    private static void write() {
        try {
            while (true) {
                System.err.println(QUEUE.take());
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
