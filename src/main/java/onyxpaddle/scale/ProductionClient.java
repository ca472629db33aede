package onyxpaddle.scale;

import onyxpaddle.membership.Discovery;

/** The program's own client, as it is; {@code asked}: it waits until the module asks, as a front's does. */
record ProductionClient(Discovery discovery, boolean asked) implements ListClient {
    @Override
    public void start() {
        if (asked) {
            discovery.start();
        } else {
            discovery.restart();
        }
    }

    @Override
    public void subscribe() {
        discovery.subscribe();
    }

    @Override
    public void stop() {
        discovery.stop();
    }
}
