package onyxpaddle.control;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import onyxpaddle.config.Fault;
import onyxpaddle.config.Faults;
import onyxpaddle.distribution.ConfigurationTable;
import onyxpaddle.distribution.ConfigurationTable.Change;
import onyxpaddle.distribution.ConfigurationVersion;
import onyxpaddle.distribution.Entry;
import onyxpaddle.distribution.UpdateJson;
import onyxpaddle.node.Log;

/**
 * Takes changes, one version after the other. Checked and written on the disk's thread, which alone knows the newest table there;
 * told, once durable, on the event loop.
 */
final class Publisher {
    /** How many replicas are to have a change before it counts as published, and how long that may take. */
    record Asked(int acks, int waitMs) {
        static final int LONGEST_WAIT_MS = 30_000;
    }

    private record Unconfirmed(ConfigurationVersion version, int acks, Consumer<Answer> answer, Future<?> end) {
    }

    private final long epoch;
    private final EventLoop loop;
    private final DiskThread disk;
    private final StateStore store;
    private final ServedConfiguration served;
    private final Reports reports;
    private final Runnable onNews;
    private final List<Unconfirmed> unconfirmed = new ArrayList<>();
    /** The newest durable table; the disk thread's. */
    private ConfigurationTable newest;
    /** Whether {@link ServedConfiguration#stopped}, for the disk thread. */
    private volatile boolean stopped;

    /** @param onNews runs on the loop after a new version may be told */
    Publisher(long epoch, EventLoop loop, DiskThread disk, StateStore store, ServedConfiguration served, Reports reports, Runnable onNews) {
        this.epoch = epoch;
        this.loop = loop;
        this.disk = disk;
        this.store = store;
        this.served = served;
        this.reports = reports;
        this.onNews = onNews;
        newest = served.table();
        stopped = served.stopped();
    }

    /** Takes the body of a call for changes; the answer comes on the loop. */
    void publish(byte[] body, Asked asked, Consumer<Answer> answer) {
        if (served.stopped()) {
            answer.accept(Answer.refused(Answer.FENCED, served.stoppedWhy()));
        } else if (!disk.run(() -> write(body, asked, answer))) {
            answer.accept(Answer.busy("too many changes wait for the disk", 0));
        }
    }

    // ---- on the disk's thread ----

    private void write(byte[] body, Asked asked, Consumer<Answer> answer) {
        try {
            Answer refusal = written(body);
            ConfigurationTable table = newest;
            loop.execute(() -> {
                if (refusal != null) {
                    answer.accept(refusal);
                } else {
                    written(table, asked, answer);
                }
            });
        } catch (RuntimeException e) {
            Log.failure("taking changes", e);
            loop.execute(() -> answer.accept(Answer.refused(500, "failed: " + e)));
        }
    }

    /** Null once the changes are durable, else why they are not. */
    private Answer written(byte[] body) {
        ChangeRequest request;
        try {
            request = ChangeJson.read(body);
        } catch (BadRequestException e) {
            return Answer.refused(Answer.BAD_REQUEST, e.getMessage());
        }
        Faults faults = ChangeCheck.check(request.changes());
        if (faults.any()) {
            return Answer.refused(Answer.FAULTS, "faults", faults.list().stream().map(Fault::toString).toList());
        }
        List<String> conflicts = conflicts(request);
        if (!conflicts.isEmpty()) {
            return Answer.refused(Answer.CONFLICT, "conflicts", conflicts);
        }
        if (stopped) {
            return Answer.refused(Answer.FENCED, "fenced");
        }
        return keep(newest.withChanges(epoch, request.changes()));
    }

    private List<String> conflicts(ChangeRequest request) {
        ConfigurationVersion base = request.base();
        if (base == null) {
            return List.of();
        }
        if (base.isAfter(newest.version()) || !newest.hasHistorySince(base)) {
            return List.of("the base " + base + " is no version that " + newest.version() + " goes back to");
        }
        List<String> conflicts = new ArrayList<>();
        for (Change change : request.changes()) {
            Entry entry = newest.entry(change.key());
            if (entry != null && entry.changedAt().isAfter(base)) {
                conflicts.add(change.key() + " changed at " + entry.changedAt() + ", after the base " + base);
            }
        }
        return conflicts;
    }

    private Answer keep(ConfigurationTable next) {
        if (StateStore.encoded(next).length > UpdateJson.MAX_BYTES) {
            return Answer.refused(Answer.FAULTS, "faults",
                List.of("the configuration would have more than " + UpdateJson.MAX_BYTES + " bytes; remove entries first"));
        }
        try {
            store.write(next);
        } catch (IOException e) {
            Log.line("control: changes are not kept: " + e);
            return Answer.refused(Answer.DISK, "not kept, nothing has changed: " + e.getMessage());
        }
        newest = next;
        return null;
    }

    // ---- on the loop ----

    private void written(ConfigurationTable table, Asked asked, Consumer<Answer> answer) {
        if (served.stopped()) {
            answer.accept(Answer.refused(Answer.FENCED, served.stoppedWhy()));
            return;
        }
        served.durable(table);
        onNews.run();
        ConfigurationVersion version = table.version();
        int holding = reports.holding(version);
        if (holding >= asked.acks()) {
            answer.accept(Answer.published(Answer.OK, version.toString(), holding));
            return;
        }
        Future<?> end = loop.schedule(() -> end(version), asked.waitMs(), TimeUnit.MILLISECONDS);
        unconfirmed.add(new Unconfirmed(version, asked.acks(), answer, end));
    }

    private void end(ConfigurationVersion version) {
        unconfirmed.removeIf(each -> {
            boolean ended = each.version().equals(version);
            if (ended) {
                each.answer().accept(Answer.published(Answer.NOT_YET_CONFIRMED, version.toString(), reports.holding(version)));
            }
            return ended;
        });
    }

    /** A replica has said what it holds, or a higher epoch was seen. */
    void heard() {
        stopped = served.stopped();
        unconfirmed.removeIf(each -> {
            int holding = reports.holding(each.version());
            if (!stopped && holding < each.acks()) {
                return false;
            }
            each.end().cancel(false);
            each.answer().accept(stopped ? Answer.refused(Answer.FENCED, served.stoppedWhy() + "; " + each.version() + " may be lost")
                : Answer.published(Answer.OK, each.version().toString(), holding));
            return true;
        });
    }
}
