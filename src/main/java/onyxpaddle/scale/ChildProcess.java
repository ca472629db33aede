package onyxpaddle.scale;

import java.io.IOException;
import java.io.ObjectInputStream;
import java.io.ObjectOutputStream;
import java.io.Serializable;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * A process of a run, in a JVM of its own so that its processor time is its own count. It is asked by messages over its standard input and
 * output, and ends when that is closed. Used by one thread.
 *
 * @param <C> what it is told
 * @param <R> what it answers
 */
final class ChildProcess<C extends Serializable, R extends Serializable> implements AutoCloseable {
    private final Process process;
    private final ObjectOutputStream out;
    private final ObjectInputStream in;
    private final Class<R> replies;

    /** Starts {@code main} with a heap of so many MiB. */
    ChildProcess(Class<?> main, int heapMiB, Class<R> replies, String... args) throws IOException {
        this.replies = replies;
        List<String> command = new ArrayList<>(List.of(Path.of(System.getProperty("java.home"), "bin", "java").toString(), "-XX:+UseSerialGC",
            "-XX:TieredStopAtLevel=1", "-Xmx" + heapMiB + "m", "-Xss512k", "-XX:-UsePerfData",
            ProcessCost.KEEP_COMPILERS, "-Dio.netty.leakDetection.level=disabled",
            "-cp", System.getProperty("java.class.path"), main.getName()));
        command.addAll(List.of(args));
        process = new ProcessBuilder(command).redirectError(ProcessBuilder.Redirect.DISCARD).start();
        out = new ObjectOutputStream(process.getOutputStream());
        out.flush();
        in = new ObjectInputStream(process.getInputStream());
    }

    long pid() {
        return process.pid();
    }

    /** Tells it something and waits for its answer of that type; fails with what it says where it could not. */
    <T extends R> T ask(C command, Class<T> answer) throws IOException {
        out.writeObject(command);
        out.flush();
        out.reset();
        try {
            R reply = replies.cast(in.readObject());
            if (!answer.isInstance(reply)) {
                throw new IOException("a process of the run answered " + reply);
            }
            return answer.cast(reply);
        } catch (ClassNotFoundException e) {
            throw new IOException("a process of the run speaks another version", e);
        }
    }

    @Override
    public void close() {
        process.destroyForcibly();
        process.onExit().join();
    }
}
