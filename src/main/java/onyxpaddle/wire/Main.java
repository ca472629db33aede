package onyxpaddle.wire;

import java.io.IOException;

/** Connects the balancer to the simulator: events on standard input, actions on standard output. */
public final class Main {
    private Main() {
    }

    public static void main(String[] args) throws IOException {
        try {
            new Adapter(System.in, new java.io.FileOutputStream(java.io.FileDescriptor.out)).run();
        } catch (MalformedLineException e) {
            System.err.println(e.getMessage());
            System.exit(2);
        }
    }
}
