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
 * Periodically announces the epoch of a publisher to the processes that it took over from. A process that was suspended or partitioned
 * during the take-over, such as the previous publisher, thus learns of the new epoch soon after it becomes reachable. It may learn
 * of it in no other way: replicas and nodes on its side of a partition still get answers from it, and have no reason to switch.
 */
final class EpochAnnouncer implements AutoCloseable {
    /** Leaves, together with the requests themselves, a wide margin to the 8 s within which a change must be in force everywhere. */
    private static final int INTERVAL_MS = 1_000;
    private static final Duration REQUEST_TIMEOUT = Duration.ofMillis(500);

    private final ControlSettings settings;
    private final ServedConfiguration served;
    private final ControlClient client = new ControlClient();
    private final AtomicBoolean roundInProgress = new AtomicBoolean();
    private final ExecutorService executor = Executors.newSingleThreadExecutor(task -> {
        Thread thread = new Thread(task, "control-epoch");
        thread.setDaemon(true);
        return thread;
    });
    private final Future<?> timer;

    /** Starts the announcements; {@code served} is read on the loop. */
    EpochAnnouncer(ControlSettings settings, EventLoop loop, ServedConfiguration served) {
        this.settings = settings;
        this.served = served;
        timer = loop.scheduleAtFixedRate(this::announce, INTERVAL_MS, INTERVAL_MS, TimeUnit.MILLISECONDS);
    }

    private void announce() {
        if (served.publishingStopped() || !roundInProgress.compareAndSet(false, true)) {
            return;
        }
        ConfigurationVersion version = served.version();
        executor.execute(() -> {
            try {
                settings.takeOverFrom().forEach(at -> announce(at, version));
            } finally {
                roundInProgress.set(false);
            }
        });
    }

    private void announce(HostPort at, ConfigurationVersion version) {
        try {
            client.get(at, "/v1/configuration?scope=all&replica=" + settings.id() + "&epoch=" + version.epoch() + "&after="
                + version.number(), REQUEST_TIMEOUT, UpdateJson.MAX_BYTES);
        } catch (IOException e) {
            // Suspended or partitioned: the next round tries again.
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    @Override
    public void close() {
        timer.cancel(false);
        executor.shutdownNow();
    }
}
