package onyxpaddle.control;

import io.netty.buffer.ByteBufAllocator;
import io.netty.channel.EventLoop;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import onyxpaddle.config.HostPort;
import onyxpaddle.distribution.ConfigurationTable;
import onyxpaddle.distribution.ConfigurationTable.ApplyResult;
import onyxpaddle.distribution.ConfigurationTable.Outcome;
import onyxpaddle.distribution.ConfigurationVersion;
import onyxpaddle.distribution.ConfigurationWatch;
import onyxpaddle.distribution.ReplicaSelector;
import onyxpaddle.distribution.Update;
import onyxpaddle.node.Log;

/**
 * Makes a replica follow other control processes. An update takes effect only once it is durable, so that the version in the next
 * request confirms it; until then it is received again and ignored. Runs on the event loop.
 */
final class Follower implements ConfigurationWatch.Receiver {
    /** Minimum delay after a failed write, as an immediate retry on a full disk fails again. */
    private static final long WRITE_RETRY_NANOS = TimeUnit.SECONDS.toNanos(1);

    private final EventLoop loop;
    private final DiskThread disk;
    private final StateStore store;
    private final ServedConfiguration served;
    private final LongSupplier clock;
    private final Runnable onUpdate;
    private boolean writing;
    private boolean failed;
    private long failedAt;

    /** @param onUpdate runs after a new version can be served */
    Follower(EventLoop loop, DiskThread disk, StateStore store, ServedConfiguration served, LongSupplier clock, Runnable onUpdate) {
        this.loop = loop;
        this.disk = disk;
        this.store = store;
        this.served = served;
        this.clock = clock;
        this.onUpdate = onUpdate;
    }

    /** Returns a watch that feeds this follower; the caller starts it. */
    ConfigurationWatch watch(ControlSettings settings, ByteBufAllocator allocator) {
        List<HostPort> others = settings.follow();
        List<InetSocketAddress> addresses = others.stream().map(at -> new InetSocketAddress(at.host(), at.port())).toList();
        ReplicaSelector selector = new ReplicaSelector(settings.id(), others.stream().map(HostPort::toString).toList(),
            ThreadLocalRandom.current());
        return new ConfigurationWatch(loop, allocator, addresses, selector, "scope=all&replica=" + settings.id(), this);
    }

    @Override
    public ConfigurationVersion currentVersion() {
        return served.table().version();
    }

    @Override
    public String reportParameters() {
        return "";
    }

    @Override
    public Outcome receive(Update update) {
        ApplyResult applied = served.table().apply(update);
        if (applied.outcome() == Outcome.UNCHANGED) {
            served.recordPublisherContact(update.staleMs(), clock.getAsLong());
        } else if (applied.outcome() == Outcome.APPLIED) {
            persist(applied.table(), update.staleMs(), clock.getAsLong());
        }
        return applied.outcome();
    }

    private void persist(ConfigurationTable table, long staleMs, long receivedAt) {
        if (writing || failed && receivedAt - failedAt < WRITE_RETRY_NANOS) {
            return;
        }
        writing = disk.tryExecute(() -> {
            IOException failure = write(table);
            loop.execute(() -> onPersisted(table, staleMs, receivedAt, failure));
        });
    }

    private IOException write(ConfigurationTable table) {
        try {
            store.write(table);
            return null;
        } catch (IOException e) {
            return e;
        }
    }

    private void onPersisted(ConfigurationTable table, long staleMs, long receivedAt, IOException failure) {
        writing = false;
        if (failure != null) {
            if (!failed) {
                Log.line("control: cannot persist version " + table.version() + ", so it is not served: " + failure);
            }
            failed = true;
            failedAt = clock.getAsLong();
            return;
        }
        if (failed) {
            Log.line("control: writing to disk works again");
        }
        failed = false;
        served.install(table);
        served.recordPublisherContact(staleMs, receivedAt);
        onUpdate.run();
    }
}
