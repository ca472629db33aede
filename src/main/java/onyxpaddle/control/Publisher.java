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
 * Publishes changes, one version at a time. The disk thread, the only owner of the newest table, validates and writes them; the event
 * loop serves them once they are durable.
 */
final class Publisher {
    /** How many replicas must hold a change before it counts as published, and how long to wait for them. */
    record AckRequirement(int acks, int waitMs) {
        static final int MAX_WAIT_MS = 30_000;
    }

    private record PendingAck(ConfigurationVersion version, int acks, Consumer<Answer> answer, Future<?> timeout) {
    }

    private final long epoch;
    private final EventLoop loop;
    private final DiskThread disk;
    private final StateStore store;
    private final ServedConfiguration served;
    private final Reports reports;
    private final Runnable onUpdate;
    private final List<PendingAck> pendingAcks = new ArrayList<>();
    /** The newest durable table; accessed by the disk thread only. */
    private ConfigurationTable newest;
    /** Copy of {@link ServedConfiguration#publishingStopped} for the disk thread. */
    private volatile boolean stopped;

    /** @param onUpdate runs on the loop after a new version can be served */
    Publisher(long epoch, EventLoop loop, DiskThread disk, StateStore store, ServedConfiguration served, Reports reports,
            Runnable onUpdate) {
        this.epoch = epoch;
        this.loop = loop;
        this.disk = disk;
        this.store = store;
        this.served = served;
        this.reports = reports;
        this.onUpdate = onUpdate;
        newest = served.table();
        stopped = served.publishingStopped();
    }

    /** Publishes the body of a request for changes; the answer is given on the loop. */
    void publish(byte[] body, AckRequirement required, Consumer<Answer> answer) {
        if (served.publishingStopped()) {
            answer.accept(Answer.refused(Answer.FENCED, served.stopReason()));
        } else if (!disk.tryExecute(() -> publishOnDiskThread(body, required, answer))) {
            answer.accept(Answer.busy("too many changes are queued for the disk", 0));
        }
    }

    // ---- on the disk thread ----

    private void publishOnDiskThread(byte[] body, AckRequirement required, Consumer<Answer> answer) {
        try {
            Answer refusal = apply(body);
            ConfigurationTable table = newest;
            loop.execute(() -> {
                if (refusal != null) {
                    answer.accept(refusal);
                } else {
                    onPersisted(table, required, answer);
                }
            });
        } catch (RuntimeException e) {
            Log.failure("publishing changes", e);
            loop.execute(() -> answer.accept(Answer.refused(500, "internal error: " + e)));
        }
    }

    /** Makes the changes durable; returns null, or the refusal. */
    private Answer apply(byte[] body) {
        ChangeRequest request;
        try {
            request = ChangeJson.read(body);
        } catch (BadRequestException e) {
            return Answer.refused(Answer.BAD_REQUEST, e.getMessage());
        }
        Faults faults = ChangeValidator.validate(request.changes());
        if (faults.any()) {
            return Answer.refused(Answer.INVALID_CHANGES, "faults", faults.list().stream().map(Fault::toString).toList());
        }
        List<String> conflicts = conflicts(request);
        if (!conflicts.isEmpty()) {
            return Answer.refused(Answer.CONFLICT, "conflicts", conflicts);
        }
        if (stopped) {
            return Answer.refused(Answer.FENCED, "fenced");
        }
        return persist(newest.withChanges(epoch, request.changes()));
    }

    private List<String> conflicts(ChangeRequest request) {
        ConfigurationVersion base = request.base();
        if (base == null) {
            return List.of();
        }
        if (base.isAfter(newest.version()) || !newest.hasHistorySince(base)) {
            return List.of("the base " + base + " is unknown: " + newest.version() + " does not descend from it");
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

    private Answer persist(ConfigurationTable next) {
        if (StateStore.encode(next).length > UpdateJson.MAX_BYTES) {
            return Answer.refused(Answer.INVALID_CHANGES, "faults",
                List.of("the configuration would exceed " + UpdateJson.MAX_BYTES + " bytes; remove entries first"));
        }
        try {
            store.write(next);
        } catch (IOException e) {
            Log.line("control: cannot persist changes: " + e);
            return Answer.refused(Answer.STORAGE_FAILED, "cannot write to disk, nothing has changed: " + e.getMessage());
        }
        newest = next;
        return null;
    }

    // ---- on the event loop ----

    private void onPersisted(ConfigurationTable table, AckRequirement required, Consumer<Answer> answer) {
        if (served.publishingStopped()) {
            answer.accept(Answer.refused(Answer.FENCED, served.stopReason()));
            return;
        }
        served.install(table);
        onUpdate.run();
        ConfigurationVersion version = table.version();
        int replicasHolding = reports.replicasHolding(version);
        if (replicasHolding >= required.acks()) {
            answer.accept(Answer.published(Answer.OK, version.toString(), replicasHolding));
            return;
        }
        Future<?> timeout = loop.schedule(() -> onAckTimeout(version), required.waitMs(), TimeUnit.MILLISECONDS);
        pendingAcks.add(new PendingAck(version, required.acks(), answer, timeout));
    }

    private void onAckTimeout(ConfigurationVersion version) {
        pendingAcks.removeIf(each -> {
            boolean timedOut = each.version().equals(version);
            if (timedOut) {
                each.answer().accept(Answer.published(Answer.NOT_CONFIRMED, version.toString(), reports.replicasHolding(version)));
            }
            return timedOut;
        });
    }

    /** Called after a caller has reported its version, which may confirm changes or reveal a higher epoch. */
    void onReport() {
        stopped = served.publishingStopped();
        pendingAcks.removeIf(each -> {
            int replicasHolding = reports.replicasHolding(each.version());
            if (!stopped && replicasHolding < each.acks()) {
                return false;
            }
            each.timeout().cancel(false);
            each.answer().accept(stopped ? Answer.refused(Answer.FENCED, served.stopReason() + "; " + each.version() + " may be lost")
                : Answer.published(Answer.OK, each.version().toString(), replicasHolding));
            return true;
        });
    }
}
