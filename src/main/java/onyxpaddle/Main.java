package onyxpaddle;

/** The one entry: the real node, or the same decisions on the simulator's wire. */
public final class Main {
    private Main() {
    }

    public static void main(String[] args) throws Exception {
        switch (args.length == 1 ? args[0] : "") {
            case "serve" -> onyxpaddle.serve.Node.main();
            case "rehearse" -> onyxpaddle.serve.Rehearsal.main();
            case "adapter" -> onyxpaddle.wire.Main.main(args);
            default -> {
                System.err.println("usage: weldlink serve | adapter | rehearse");
                System.exit(64);
            }
        }
    }
}
