package onyxpaddle.control;

import java.io.IOException;
import java.lang.ProcessBuilder.Redirect;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import onyxpaddle.drill.ServeProcess;

/** A process of the packaged program, started by its command line. Its log is appended to a file, also across restarts. */
final class ProgramProcess {
    private static final List<String> OPTIONS = List.of("-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-Xms24m", "-Xmx64m", "-Xss512k",
        "-XX:-UsePerfData");
    private static final long EXIT_TIMEOUT_S = 60;

    private final Process process;
    private final Path log;
    private final long logBegin;

    private ProgramProcess(Process process, Path log, long logBegin) {
        this.process = process;
        this.log = log;
        this.logBegin = logBegin;
    }

    static ProgramProcess start(Path log, List<String> arguments) throws IOException {
        long begin = Files.exists(log) ? Files.size(log) : 0;
        ProcessBuilder builder = new ProcessBuilder(command(arguments)).redirectErrorStream(true)
            .redirectOutput(Redirect.appendTo(log.toFile()));
        builder.environment().keySet().removeIf(name -> name.startsWith("GW_"));
        builder.environment().put("TMPDIR", log.getParent().toString());
        Process process = builder.start();
        // Kills the process if the test JVM is terminated; has no effect if it has exited.
        Runtime.getRuntime().addShutdownHook(new Thread(process::destroyForcibly));
        return new ProgramProcess(process, log, begin);
    }

    private static List<String> command(List<String> arguments) {
        List<String> command = new ArrayList<>(List.of(Path.of(System.getProperty("java.home"), "bin", "java").toString()));
        Path classes = ServeProcess.jar().resolveSibling("weldlink.jsa");
        if (Files.exists(classes)) {
            command.add("-XX:SharedArchiveFile=" + classes);
        }
        command.addAll(OPTIONS);
        command.addAll(List.of("-jar", ServeProcess.jar().toString()));
        command.addAll(arguments);
        return command;
    }

    /** Waits for its exit; fails and kills it after a minute. */
    int exitCode() throws InterruptedException {
        if (!process.waitFor(EXIT_TIMEOUT_S, TimeUnit.SECONDS)) {
            kill();
            throw new AssertionError("the process did not exit within " + EXIT_TIMEOUT_S + " s: " + log());
        }
        return process.exitValue();
    }

    boolean isAlive() {
        return process.isAlive();
    }

    /** Returns what it has written to standard output and error since its start. */
    String log() {
        try {
            byte[] all = Files.readAllBytes(log);
            return new String(all, (int) logBegin, (int) (all.length - logBegin), java.nio.charset.StandardCharsets.UTF_8);
        } catch (IOException e) {
            return "(no log: " + e.getMessage() + ")";
        }
    }

    /** Sends a signal, such as STOP or CONT. */
    void signal(String name) throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start().waitFor();
    }

    /** Kills it, even if it is suspended, and waits for its exit. */
    void kill() throws InterruptedException {
        process.destroyForcibly().waitFor();
    }
}
