package onyxpaddle.control;

import java.io.IOException;
import onyxpaddle.distribution.ConfigurationVersion;

/** Publishes routes to {@code /vN} with increasing N, one change at a time, until the publisher fails or {@link #end} is called. */
final class ChangeStream {
    /**
     * @param attempted the last number that was sent
     * @param version the last version that the publisher confirmed
     */
    record Progress(int attempted, ConfigurationVersion version) {
    }

    private final ControlMachine publisher;
    private final Thread thread = new Thread(this::publish, "changes");
    private volatile int attempted;
    private volatile int confirmed;
    private volatile ConfigurationVersion version = ConfigurationVersion.NONE;
    private volatile boolean stopped;

    /** Starts at once with that number. */
    ChangeStream(ControlMachine publisher, int first) {
        this.publisher = publisher;
        this.attempted = first - 1;
        thread.start();
    }

    private void publish() {
        while (!stopped) {
            attempted++;
            try {
                version = publisher.publish(ChangeBody.of(ChangeBody.ROUTES, ChangeBody.routesTo("/v" + attempted)));
                confirmed++;
            } catch (IOException | InterruptedException e) {
                return;
            }
        }
    }

    /** Returns the number of changes confirmed so far. */
    int confirmed() {
        return confirmed;
    }

    Progress end() throws InterruptedException {
        stopped = true;
        thread.join();
        return new Progress(attempted, version);
    }
}
