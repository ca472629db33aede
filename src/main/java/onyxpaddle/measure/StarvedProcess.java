package onyxpaddle.measure;

import java.io.IOException;
import java.util.Locale;

/** Lets a process run for only a part of each period, by stopping and continuing it with signals, until it is closed. */
final class StarvedProcess implements AutoCloseable {
    private final long pid;
    private final Process signals;

    /** {@code runMs}: for how long it runs in each period of {@code periodMs}. */
    StarvedProcess(long pid, int runMs, int periodMs) throws IOException {
        this.pid = pid;
        String loop = String.format(Locale.ROOT, "while kill -STOP %1$d && sleep %3$.3f && kill -CONT %1$d; do sleep %2$.3f; done", pid,
            runMs / 1e3, (periodMs - runMs) / 1e3);
        signals = new ProcessBuilder("/bin/sh", "-c", loop).redirectErrorStream(true)
            .redirectOutput(ProcessBuilder.Redirect.DISCARD).start();
    }

    /** Lets the process run freely again. */
    @Override
    public void close() throws IOException {
        try {
            signals.destroyForcibly().waitFor();
            new ProcessBuilder("kill", "-CONT", Long.toString(pid)).start().waitFor();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
