package onyxpaddle.measure;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

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

    /** Stops a process, and returns once none of its threads runs. */
    static void stop(long pid) throws IOException, InterruptedException {
        signal(pid, "STOP");
        while (!isStopped(pid)) {
            TimeUnit.MILLISECONDS.sleep(1);
        }
    }

    /** Lets a stopped process go on. */
    static void resume(long pid) throws IOException, InterruptedException {
        signal(pid, "CONT");
    }

    private static void signal(long pid, String name) throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-" + name, Long.toString(pid)).start().waitFor();
    }

    private static boolean isStopped(long pid) throws IOException {
        try (Stream<Path> threads = Files.list(Path.of("/proc/" + pid + "/task"))) {
            for (Path thread : threads.toList()) {
                if (Files.readAllLines(thread.resolve("status")).stream().noneMatch(line -> line.matches("State:\\s+T.*"))) {
                    return false;
                }
            }
            return true;
        }
    }

    /** Lets the process run freely again. */
    @Override
    public void close() throws IOException {
        try {
            signals.destroyForcibly().waitFor();
            resume(pid);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
