package onyxpaddle.sidecar;

import java.io.PrintWriter;
import picocli.CommandLine;

/** Runs a command of the program with its output streams, and maps usage errors and exceptions to exit codes. */
public final class CommandRunner {
    private static final int CANNOT_RUN = 1;
    private static final int USAGE = 64;

    private CommandRunner() {
    }

    /** Runs a command and returns its exit code. */
    public static int run(CommandLine line, String[] args, PrintWriter out, PrintWriter err) {
        line.setOut(out).setErr(err);
        line.setParameterExceptionHandler((e, a) -> {
            err.println(e.getMessage());
            e.getCommandLine().usage(err);
            return USAGE;
        });
        line.setExecutionExceptionHandler((e, l, r) -> {
            err.println("lupinmount: cannot run: " + (e.getMessage() == null ? e : e.getMessage()));
            return CANNOT_RUN;
        });
        int code = line.execute(args);
        out.flush();
        err.flush();
        return code;
    }
}
