package onyxpaddle;

import java.io.PrintWriter;

/** The one entry: the platform's node and the simulator's adapter at once, all else by the tree of commands. */
public final class Main {
    private Main() {
    }

    public static void main(String[] args) throws Exception {
        switch (args.length == 1 ? args[0] : "") {
            // These load nothing that they don't run: their start counts.
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
