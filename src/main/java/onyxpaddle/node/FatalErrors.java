package onyxpaddle.node;

import io.netty.util.internal.logging.InternalLoggerFactory;
import io.netty.util.internal.logging.JdkLoggerFactory;
import java.util.logging.Handler;
import java.util.logging.LogRecord;
import java.util.logging.Logger;

/**
 * Ends the process on an {@link Error}, such as exhausted memory: what was in progress when it was thrown is in no known state, and a
 * process that goes on would hold connections that nobody serves. Whoever started the process starts a new one.
 */
public final class FatalErrors {
    /** The exit code of a process that ends so: an internal software error, as in BSD's sysexits. */
    public static final int EXIT_CODE = 70;

    /** How many frames are written of each end of a stack; that of an endless recursion has its cause at one and its loop at the other. */
    private static final int FRAMES = 10;

    /** Netty's loggers; held, as the JDK forgets a logger, and its handlers, that nobody refers to. */
    private static final Logger NETTY = Logger.getLogger("io.netty");

    private FatalErrors() {
    }

    /** Ends the process if the failure is an error. {@code where}: for the log. */
    public static void check(String where, Throwable failure) {
        if (failure instanceof Error) {
            exit(where + ": " + failure, failure.getStackTrace());
        }
    }

    /**
     * Ends the process also on an error that no code of this program catches: one that ends a thread, and one that Netty catches and only
     * logs, from a listener of a promise, a task of an event loop, or the release of a message. Called before Netty is used.
     */
    public static void endProcessOnUncaughtErrors() {
        Thread.setDefaultUncaughtExceptionHandler((thread, failure) -> {
            check(thread.getName(), failure);
            Log.failure(thread.getName(), failure);
        });
        InternalLoggerFactory.setDefaultFactory(JdkLoggerFactory.INSTANCE);
        NETTY.addHandler(new ErrorHandler());
    }

    private static final class ErrorHandler extends Handler {
        @Override
        public void publish(LogRecord logged) {
            check(logged.getMessage(), logged.getThrown());
        }

        @Override
        public void flush() {
        }

        @Override
        public void close() {
        }
    }

    /** Says why on standard error and ends the process; nothing else is run, as memory may be exhausted. */
    public static void exit(String reason) {
        exit(reason, new StackTraceElement[0]);
    }

    private static void exit(String reason, StackTraceElement[] trace) {
        try {
            System.err.println("weldlink: fatal: " + reason);
            for (int i = 0; i < trace.length; i++) {
                if (i < FRAMES || i >= trace.length - FRAMES) {
                    System.err.println("    at " + trace[i]);
                } else if (i == FRAMES) {
                    System.err.println("    ... " + (trace.length - 2 * FRAMES) + " more");
                }
            }
        } finally {
            Runtime.getRuntime().halt(EXIT_CODE);
        }
    }
}
