package onyxpaddle.control;

import java.io.IOException;
import java.lang.ProcessBuilder.Redirect;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import onyxpaddle.drill.ServeProcess;

/** A process of the program as built, started by its command line; its log goes to a file that a later start goes on with. */
final class ProgramProcess {
    private static final List<String> OPTIONS = List.of("-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-Xms24m", "-Xmx64m", "-Xss512k",
        "-XX:-UsePerfData");
    private static final long LONGEST_RUN_S = 60;

    private final Process process;
    private final Path log;
    private final long logBegin;

    private ProgramProcess(Process process, Path log, long logBegin) {
        this.process = process;
        this.log = log;
        this.logBegin = logBegin;
    }

    /** Starts one with these arguments. */
    static ProgramProcess start(Path log, List<String> arguments) throws IOException {
        long begin = Files.exists(log) ? Files.size(log) : 0;
        ProcessBuilder builder = new ProcessBuilder(command(arguments)).redirectErrorStream(true)
            .redirectOutput(Redirect.appendTo(log.toFile()));
        builder.environment().keySet().removeIf(name -> name.startsWith("GW_"));
        builder.environment().put("TMPDIR", log.getParent().toString());
        Process process = builder.start();
        // Also where the tests are ended from outside; does nothing for one that has ended.
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

    /** Waits for its end; a process that doesn't end within a minute is killed. */
    int exitCode() throws InterruptedException {
        if (!process.waitFor(LONGEST_RUN_S, TimeUnit.SECONDS)) {
            kill();
            throw new AssertionError("a process did not end within " + LONGEST_RUN_S + " s: " + log());
        }
        return process.exitValue();
    }

    boolean isAlive() {
        return process.isAlive();
    }

    /** What it has written since its start, both streams together. */
    String log() {
        try {
            byte[] all = Files.readAllBytes(log);
            return new String(all, (int) logBegin, (int) (all.length - logBegin), java.nio.charset.StandardCharsets.UTF_8);
        } catch (IOException e) {
            return "(no log: " + e.getMessage() + ")";
        }
    }

    /** Sends it a signal by its name, such as STOP or CONT. */
    void signal(String name) throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start().waitFor();
    }

    /** Ends it at once, also where it is stopped, and waits for that. */
    void kill() throws InterruptedException {
        process.destroyForcibly().waitFor();
    }
}
