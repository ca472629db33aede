package onyxpaddle.node;

import java.util.concurrent.ArrayBlockingQueue;

/**
 * Lines on standard error. A daemon thread writes them, so that a pipe nobody reads never blocks the event loop;
 * the queue is bounded and so is each second's number of lines, with a count of those left out.
 */
public final class Log {
    private static final int LINES_PER_SECOND = 30;
    private static final int LONGEST = 400;
    private static final ArrayBlockingQueue<String> LINES = new ArrayBlockingQueue<>(256);

    private static long second;
    private static int lines;
    private static int leftOut;

    static {
        Thread writer = new Thread(Log::write, "log");
        writer.setDaemon(true);
        writer.start();
    }

    private Log() {
    }

    public static synchronized void line(String text) {
        long now = System.nanoTime() / 1_000_000_000L;
        if (now != second) {
            second = now;
            lines = 0;
            if (leftOut > 0) {
                LINES.offer(leftOut + " lines left out");
                leftOut = 0;
            }
        }
        String clean = text.length() > LONGEST ? text.substring(0, LONGEST) : text;
        if (++lines > LINES_PER_SECOND || !LINES.offer(clean.replaceAll("\\p{Cntrl}", "?"))) {
            leftOut++;
        }
    }

    public static void failure(String doing, Throwable cause) {
        StackTraceElement[] trace = cause.getStackTrace();
        line(doing + ": " + cause + (trace.length > 0 ? " at " + trace[0] : ""));
    }

    private static void write() {
        try {
            while (true) {
                System.err.println(LINES.take());
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
