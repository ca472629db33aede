package onyxpaddle.control;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/** Sends probe requests to a node, one after the other, and collects failures and unexpected answers. */
final class ContinuousCaller {
    private final ConfiguredNode node;
    private final String expected;
    private final Thread thread = new Thread(this::call, "caller");
    private final AtomicInteger answered = new AtomicInteger();
    private final List<String> failures = new ArrayList<>();
    private volatile boolean stopped;

    /** Starts at once; each answer must be this path. */
    ContinuousCaller(ConfiguredNode node, String expected) {
        this.node = node;
        this.expected = expected;
        thread.start();
    }

    private void call() {
        while (!stopped) {
            try {
                String path = node.inForce();
                if (!path.equals(expected)) {
                    failures.add("answered by " + path);
                }
            } catch (java.io.IOException e) {
                failures.add(e.toString());
            } catch (InterruptedException e) {
                return;
            }
            answered.incrementAndGet();
        }
    }

    /** Returns the number of requests completed so far, including failed ones. */
    int answered() {
        return answered.get();
    }

    /** Returns the log of the node, for failure messages. */
    String nodeLog() {
        return node.process().log();
    }

    /** Stops and returns the failures. */
    List<String> end() throws InterruptedException {
        stopped = true;
        thread.join();
        return failures;
    }
}
