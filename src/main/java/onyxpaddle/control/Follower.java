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
 * A replica's following of other control processes. What comes is held only once it is durable, so that the version asked after
 * is a confirmation; until then it is told again and passed over. On the event loop.
 */
final class Follower implements ConfigurationWatch.Receiver {
    /** After a write that failed: a full disk is not helped by haste. */
    private static final long WRITE_PAUSE_NANOS = TimeUnit.SECONDS.toNanos(1);

    private final EventLoop loop;
    private final DiskThread disk;
    private final StateStore store;
    private final ServedConfiguration served;
    private final LongSupplier clock;
    private final Runnable onNews;
    private boolean writing;
    private boolean failed;
    private long failedAt;

    /** @param onNews runs after something new may be told */
    Follower(EventLoop loop, DiskThread disk, StateStore store, ServedConfiguration served, LongSupplier clock, Runnable onNews) {
        this.loop = loop;
        this.disk = disk;
        this.store = store;
        this.served = served;
        this.clock = clock;
        this.onNews = onNews;
    }

    /** A watch that feeds this follower; to be started. */
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
            served.heard(update.staleMs(), clock.getAsLong());
        } else if (applied.outcome() == Outcome.APPLIED) {
            keep(applied.table(), update.staleMs(), clock.getAsLong());
        }
        return applied.outcome();
    }

    private void keep(ConfigurationTable table, long staleMs, long toldAt) {
        if (writing || failed && toldAt - failedAt < WRITE_PAUSE_NANOS) {
            return;
        }
        writing = disk.run(() -> {
            IOException failure = write(table);
            loop.execute(() -> kept(table, staleMs, toldAt, failure));
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

    private void kept(ConfigurationTable table, long staleMs, long toldAt, IOException failure) {
        writing = false;
        if (failure != null) {
            if (!failed) {
                Log.line("control: " + table.version() + " is not kept, and so not told: " + failure);
            }
            failed = true;
            failedAt = clock.getAsLong();
            return;
        }
        if (failed) {
            Log.line("control: the disk takes what is told again");
        }
        failed = false;
        served.durable(table);
        served.heard(staleMs, toldAt);
        onNews.run();
    }
}
