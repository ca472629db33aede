package onyxpaddle;

import java.io.PrintWriter;
import java.nio.file.Path;
import java.util.Arrays;

/** The one entry: the real node, or the same decisions on the simulator's wire. */
public final class Main {
    private Main() {
    }

    public static void main(String[] args) throws Exception {
        String command = args.length == 0 ? "" : args[0];
        if (command.equals("sidecar")) {
            System.exit(onyxpaddle.sidecar.SidecarCommand.run(Arrays.copyOfRange(args, 1, args.length),
                new PrintWriter(System.out, true), new PrintWriter(System.err, true)));
        } else if (command.equals("rpc")) {
            System.exit(onyxpaddle.sidecar.RpcCommand.run(Arrays.copyOfRange(args, 1, args.length),
                new PrintWriter(System.out, true), new PrintWriter(System.err, true)));
        } else if (command.equals("measure")) {
            System.exit(onyxpaddle.measure.Measure.run(Arrays.copyOfRange(args, 1, args.length)));
        } else if (args.length == 3 && command.equals("serve") && args[1].equals("--config")) {
            onyxpaddle.serve.Sidecar.main(Path.of(args[2]));
        } else {
            switch (args.length == 1 ? command : "") {
                case "serve" -> onyxpaddle.serve.Node.main();
                case "rehearse" -> onyxpaddle.serve.Rehearsal.main();
                case "adapter" -> onyxpaddle.wire.Main.main(args);
                default -> {
                    System.err.println("usage: serve [--config FILE] | sidecar COMMAND | rpc call ... | measure [NAME] | adapter | rehearse");
                    System.exit(64);
                }
            }
        }
    }
}
