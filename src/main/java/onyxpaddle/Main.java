package onyxpaddle;

import java.io.PrintWriter;

/** Entry point: starts the platform's node and the simulator's adapter directly, all else through the command tree. */
public final class Main {
    private Main() {
    }

    public static void main(String[] args) throws Exception {
        switch (args.length == 1 ? args[0] : "") {
            // Started directly, without loading the classes of other commands, as their start-up time matters.
            case "serve" -> onyxpaddle.serve.Node.main();
            case "rehearse" -> onyxpaddle.serve.TrainingRun.main();
            case "adapter" -> onyxpaddle.wire.Main.main(args);
            default -> {
                int code = onyxpaddle.command.Lupinmount.run(args, new PrintWriter(System.out, true), new PrintWriter(System.err, true));
                if (code >= 0) {
                    System.exit(code);
                }
            }
        }
    }
}
