package onyxpaddle.control;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import java.io.IOException;
import java.time.Duration;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import onyxpaddle.config.HostPort;
import onyxpaddle.distribution.ConfigurationVersion;
import onyxpaddle.distribution.UpdateJson;

/**
 * Tells those from whom a publisher took over that its epoch has begun, again and again for as long as it runs: one that was stopped
 * or cut off at the take-over, the publisher of the epoch before among them, hears of it soon after it can be reached again. Nobody
 * else may tell it: replicas and nodes on its side get answers from it, and have no cause to look elsewhere.
 */
final class EpochAnnouncement implements AutoCloseable {
    /** With the calls themselves well within the 8 s after which a change is to be in force everywhere. */
    private static final int EVERY_MS = 1_000;
    private static final Duration PATIENCE = Duration.ofMillis(500);

    private final ControlSettings settings;
    private final ServedConfiguration served;
    private final ControlClient client = new ControlClient();
    private final AtomicBoolean calling = new AtomicBoolean();
    private final ExecutorService caller = Executors.newSingleThreadExecutor(task -> {
        Thread thread = new Thread(task, "control-epoch");
        thread.setDaemon(true);
        return thread;
    });
    private final Future<?> round;

    /** Begins; {@code served} is read on the loop. */
    EpochAnnouncement(ControlSettings settings, EventLoop loop, ServedConfiguration served) {
        this.settings = settings;
        this.served = served;
        round = loop.scheduleAtFixedRate(this::announce, EVERY_MS, EVERY_MS, TimeUnit.MILLISECONDS);
    }

    private void announce() {
        if (served.stopped() || !calling.compareAndSet(false, true)) {
            return;
        }
        ConfigurationVersion version = served.version();
        caller.execute(() -> {
            try {
                settings.takeOverFrom().forEach(at -> announce(at, version));
            } finally {
                calling.set(false);
            }
        });
    }

    private void announce(HostPort at, ConfigurationVersion version) {
        try {
            client.get(at, "/v1/configuration?scope=all&replica=" + settings.id() + "&epoch=" + version.epoch() + "&after="
                + version.number(), PATIENCE, UpdateJson.MAX_BYTES);
        } catch (IOException e) {
            // Stopped or cut off: the next round tries again.
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    @Override
    public void close() {
        round.cancel(false);
        caller.shutdownNow();
    }
}
