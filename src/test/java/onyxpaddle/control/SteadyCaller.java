package onyxpaddle.control;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/** Asks a node for its probe, one request after the other, and keeps what was not answered as it should be. */
final class SteadyCaller {
    private final ConfiguredNode node;
    private final String expected;
    private final Thread thread = new Thread(this::call, "caller");
    private final AtomicInteger answered = new AtomicInteger();
    private final List<String> wrong = new ArrayList<>();
    private volatile boolean over;

    /** Begins to call; each answer is to be this path. */
    SteadyCaller(ConfiguredNode node, String expected) {
        this.node = node;
        this.expected = expected;
        thread.start();
    }

    private void call() {
        while (!over) {
            try {
                String path = node.inForce();
                if (!path.equals(expected)) {
                    wrong.add("answered by " + path);
                }
            } catch (java.io.IOException e) {
                wrong.add(e.toString());
            } catch (InterruptedException e) {
                return;
            }
            answered.incrementAndGet();
        }
    }

    /** Requests that have ended so far, well or not. */
    int answered() {
        return answered.get();
    }

    /** What the node that it calls has written, for messages. */
    String nodeLog() {
        return node.process().log();
    }

    /** Ends it, and returns what was wrong. */
    List<String> end() throws InterruptedException {
        over = true;
        thread.join();
        return wrong;
    }
}
