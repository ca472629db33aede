package onyxpaddle.serve;

import io.netty.buffer.ByteBufAllocator;
import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import onyxpaddle.config.Fault;
import onyxpaddle.config.Faults;
import onyxpaddle.config.MachineLimits;
import onyxpaddle.config.NodeConfig;
import onyxpaddle.config.NodeConfigReader;
import onyxpaddle.config.Value;
import onyxpaddle.distribution.ConfigurationOverlay;
import onyxpaddle.distribution.ConfigurationTable;
import onyxpaddle.distribution.ConfigurationVersion;
import onyxpaddle.distribution.ConfigurationWatch;
import onyxpaddle.distribution.Entry;
import onyxpaddle.distribution.Subscription;
import onyxpaddle.distribution.ReplicaSelector;
import onyxpaddle.distribution.Update;
import onyxpaddle.node.Log;

/**
 * Applies the configuration of the control processes to one node: watches it, overlays its entries on the node's own file, validates
 * the result as a whole and passes it to a {@link ConfigurationTarget}. A refused version changes nothing: the last good configuration
 * stays in force, and the next call reports the version and its first fault. Of the versions that arrive while one is being applied
 * only the newest is applied next.
 *
 * <p>Calls are made on the event loop; reading, merging, validating, applying and caching run on the worker, one task at a time.
 */
public final class DistributedConfiguration {
    /**
     * How long a start waits for the first answer before it falls back to the cached configuration. Covers two replicas that do not
     * answer and a third that does.
     */
    private static final int START_TIMEOUT_MS = 3000;
    private static final int MAX_FAULTS_LOGGED = 20;

    /**
     * The local inputs of a node's configuration.
     *
     * @param subscription the node's name and its service
     * @param base the node's own file, parsed
     * @param folder the folder to which file names in the base and in the entries are relative
     * @param machine the limits of the machine, against which configured limits are checked
     * @param state the folder in which the entries in force are cached; null for no cache
     */
    public record Origin(Subscription subscription, Value base, Path folder, MachineLimits machine, Path state) {
    }

    /** The control processes to call, and the event loop to call them on. */
    public record Control(EventLoop loop, ByteBufAllocator allocator, List<InetSocketAddress> replicas) {
    }

    private final Subscription subscription;
    private final Path folder;
    private final MachineLimits machine;
    private final EventLoop loop;
    private final Executor worker;
    private final ConfigurationTarget target;
    private final DistributedConfigurationCache cache;
    private final ConfigurationWatch watch;
    private final CompletableFuture<Void> started = new CompletableFuture<>();
    private volatile ConfigurationStatus currentStatus = ConfigurationStatus.NONE;

    // Confined to the event loop.
    private ConfigurationTable received = ConfigurationTable.EMPTY;
    private boolean answered;

    // Confined to the worker.
    private Value base;
    private DistributedConfigurationCache.Cached cached;
    /** The table to apply next, newer than the one being applied; null for none. */
    private ConfigurationTable pending;
    private boolean applying;
    /** The entries in force; null before the first, and after the base has changed. */
    private List<Entry> entriesInForce;
    /** The entries that were last refused with the current base; null for none. */
    private List<Entry> refusedEntries;

    /** {@code worker}: runs one task at a time, in the order of submission. */
    public DistributedConfiguration(Origin origin, Control control, Executor worker, ConfigurationTarget target) {
        this.subscription = origin.subscription();
        this.base = origin.base();
        this.folder = origin.folder();
        this.machine = origin.machine();
        this.loop = control.loop();
        this.worker = worker;
        this.target = target;
        cache = origin.state() == null ? null : new DistributedConfigurationCache(origin.state(), subscription);
        List<String> names = control.replicas().stream().map(at -> at.getAddress().getHostAddress() + ":" + at.getPort()).toList();
        ReplicaSelector selector = new ReplicaSelector(subscription.node(), names, ThreadLocalRandom.current());
        watch = new ConfigurationWatch(loop, control.allocator(), control.replicas(), selector,
            "node=" + subscription.node() + "&service=" + subscription.service(), new TableHolder());
    }

    /**
     * Starts watching. The result completes once a first configuration is in force: the one of the control processes if one of them
     * answers within 3 s, else the cached one, else the node's own file alone. It fails with a {@link ConfigurationRefusedException}
     * if none of these can be applied.
     */
    public CompletableFuture<Void> start() {
        runOnWorker(() -> {
            cached = cache == null ? null : cache.read();
            ConfigurationTable from = cached == null ? ConfigurationTable.EMPTY : cached.table();
            loop.execute(() -> {
                received = from;
                watch.start();
                loop.schedule(this::startWithoutAnswer, START_TIMEOUT_MS, TimeUnit.MILLISECONDS);
            });
        });
        return started;
    }

    /** Stops watching; the configuration in force stays. */
    public void stop() {
        watch.stop();
    }

    /** Thread-safe. */
    public ConfigurationStatus currentStatus() {
        return currentStatus;
    }

    /** Replaces the base, as after SIGHUP, and overlays the same entries on it. Thread-safe. */
    public void rebase(Value newBase) {
        runOnWorker(() -> {
            base = newBase;
            entriesInForce = null;
            refusedEntries = null;
        });
        loop.execute(() -> {
            ConfigurationTable table = received;
            runOnWorker(() -> enqueue(table));
        });
    }

    // ---- on the event loop ----

    private final class TableHolder implements ConfigurationWatch.Receiver {
        @Override
        public ConfigurationVersion currentVersion() {
            return received.version();
        }

        @Override
        public ConfigurationTable.Outcome receive(Update update) {
            ConfigurationTable.ApplyResult applied = received.apply(update);
            boolean accepted = applied.outcome() == ConfigurationTable.Outcome.APPLIED
                || applied.outcome() == ConfigurationTable.Outcome.UNCHANGED;
            if (accepted && (!answered || applied.outcome() == ConfigurationTable.Outcome.APPLIED)) {
                answered = true;
                received = applied.table();
                runOnWorker(() -> enqueue(applied.table()));
            }
            return applied.outcome();
        }

        @Override
        public String reportParameters() {
            return currentStatus.toQueryParameters();
        }
    }

    private void startWithoutAnswer() {
        if (answered) {
            return;
        }
        ConfigurationTable table = received;
        runOnWorker(() -> {
            if (!applying && entriesInForce == null && refusedEntries == null) {
                Log.line("configuration: no control process answers; starting with " + (cached == null ? "this node's file alone"
                    : table.version() + " as kept " + TimeUnit.MILLISECONDS.toSeconds(System.currentTimeMillis() - cached.writtenAt())
                        + " s ago"));
                enqueue(table);
            }
        });
    }

    // ---- on the worker ----

    /** Runs a task on the worker. An unexpected exception is logged and does not affect later tasks. */
    private void runOnWorker(Runnable task) {
        worker.execute(() -> {
            try {
                task.run();
            } catch (RuntimeException e) {
                Log.failure("configuration", e);
            }
        });
    }

    private void enqueue(ConfigurationTable table) {
        if (pending == null || !pending.version().isAfter(table.version())) {
            pending = table;
        }
        applyPending();
    }

    private void applyPending() {
        if (applying || pending == null) {
            return;
        }
        ConfigurationTable table = pending;
        pending = null;
        List<Entry> entries = table.entries(subscription);
        if (entries.equals(entriesInForce)) {
            // No entry of interest to this node has changed.
            currentStatus = ConfigurationStatus.inForce(table.version());
        } else if (!entries.equals(refusedEntries)) {
            apply(table, entries);
        }
    }

    private void apply(ConfigurationTable table, List<Entry> entries) {
        Faults faults = new Faults();
        NodeConfig config = read(entries, faults);
        if (config == null) {
            Log.line("configuration: " + describe(table) + " is refused; faults:");
            List<String> reasons = ConfigurationOverlay.entryFaultsFirst(entries, faults.list()).stream().limit(MAX_FAULTS_LOGGED)
                .map(Fault::toString).toList();
            reasons.forEach(Log::line);
            refused(table, entries, reasons, true);
            applyPending();
            return;
        }
        applying = true;
        Value appliedBase = base;
        target.apply(config).whenCompleteAsync((failure, thrown) -> {
            applying = false;
            String reason = thrown == null ? failure : String.valueOf(thrown.getMessage());
            if (reason == null) {
                entriesInForce = appliedBase == base ? entries : null;
                inForce(table);
            } else {
                Log.line("configuration: " + describe(table) + " could not be applied, nothing is changed: " + reason);
                refused(table, entries, List.of(reason), false);
            }
            applyPending();
        }, worker);
    }

    private static String describe(ConfigurationTable table) {
        return table.version().equals(ConfigurationVersion.NONE) ? "this node's file alone" : table.version().toString();
    }

    /** The base with the entries overlaid; null if the result is invalid. */
    private NodeConfig read(List<Entry> entries, Faults faults) {
        Value merged = ConfigurationOverlay.apply(base, entries, faults);
        NodeConfig config = NodeConfigReader.read(merged, folder, machine, faults);
        if (!faults.any() && !config.name().equals(subscription.node())) {
            faults.add(merged.place(), "name", "is `" + config.name() + "` where this process runs `" + subscription.node() + "`",
                "start another process for another name");
        }
        return faults.any() ? null : config;
    }

    private void inForce(ConfigurationTable table) {
        Log.line("configuration: " + describe(table) + " is in force");
        currentStatus = currentStatus.withInForce(table.version());
        if (cache != null && !table.version().equals(ConfigurationVersion.NONE)) {
            cache.write(table, System.currentTimeMillis());
        }
        cached = null;
        started.complete(null);
    }

    private void refused(ConfigurationTable table, List<Entry> entries, List<String> reasons, boolean invalid) {
        refusedEntries = entries;
        currentStatus = currentStatus.withRefused(table.version(), reasons.get(0));
        if (!started.isDone()) {
            fallBack(reasons, invalid);
        }
    }

    /** At a start there is no last good configuration to stay with: tries the cached entries next, then the node's file alone. */
    private void fallBack(List<String> reasons, boolean invalid) {
        if (pending != null) {
            return;
        }
        if (cached != null && !cached.table().entries(subscription).equals(refusedEntries)) {
            pending = cached.table();
            cached = null;
            Log.line("configuration: starting with " + pending.version() + " as kept");
        } else if (!refusedEntries.isEmpty()) {
            pending = ConfigurationTable.EMPTY;
            Log.line("configuration: starting with this node's file alone");
        } else {
            started.completeExceptionally(new ConfigurationRefusedException(reasons, invalid));
        }
    }
}
