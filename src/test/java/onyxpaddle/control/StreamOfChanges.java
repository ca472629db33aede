package onyxpaddle.control;

import java.io.IOException;
import onyxpaddle.distribution.ConfigurationVersion;

/** Publishes routes to {@code /vN} with N rising, one change after the other, until the publisher fails or it is told to end. */
final class StreamOfChanges {
    /**
     * How far it came.
     *
     * @param tried the last number that was sent
     * @param version what the publisher confirmed last
     */
    record Last(int tried, ConfigurationVersion version) {
    }

    private final ControlMachine publisher;
    private final Thread thread = new Thread(this::publish, "changes");
    private volatile int tried;
    private volatile int confirmed;
    private volatile ConfigurationVersion version = ConfigurationVersion.NONE;
    private volatile boolean over;

    /** Begins with that number. */
    StreamOfChanges(ControlMachine publisher, int first) {
        this.publisher = publisher;
        this.tried = first - 1;
        thread.start();
    }

    private void publish() {
        while (!over) {
            tried++;
            try {
                version = publisher.publish(Changes.of(Changes.ROUTES, Changes.routesTo("/v" + tried)));
                confirmed++;
            } catch (IOException | InterruptedException e) {
                return;
            }
        }
    }

    /** Changes that were confirmed so far. */
    int confirmed() {
        return confirmed;
    }

    Last end() throws InterruptedException {
        over = true;
        thread.join();
        return new Last(tried, version);
    }
}
