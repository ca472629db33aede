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
 * Brings the configuration of the control processes into force at one node: follows it, lays its entries over the node's own file,
 * checks the result as a whole and hands it to a {@link ConfigurationTarget}. What is refused changes nothing: the last good
 * configuration stays, and the next call reports version and first fault. Of several versions that come while one is being applied
 * only the newest is followed up.
 *
 * <p>Calls happen on the event loop; reading, merging, checking, applying and keeping on the worker, which runs one task at a time.
 */
public final class DistributedConfiguration {
    /** How long a start waits for the first answer before it goes by what was kept: two silent replicas and a third that answers. */
    private static final int START_PATIENCE_MS = 3000;
    private static final int MOST_FAULTS_LOGGED = 20;

    /**
     * What a node's configuration is made from.
     *
     * @param subscription the node's name and its service
     * @param base the node's own file as read
     * @param folder from which the base and the entries name files
     * @param machine against which limits are checked
     * @param state the folder in which entries in force are kept; null to keep none
     */
    public record Origin(Subscription subscription, Value base, Path folder, MachineLimits machine, Path state) {
    }

    /** Where control processes are asked, and on which loop. */
    public record Control(EventLoop loop, ByteBufAllocator allocator, List<InetSocketAddress> replicas) {
    }

    private final Subscription subscription;
    private final Path folder;
    private final MachineLimits machine;
    private final EventLoop loop;
    private final Executor worker;
    private final ConfigurationTarget target;
    private final DistributedConfigurationCache keeping;
    private final ConfigurationWatch watch;
    private final CompletableFuture<Void> begun = new CompletableFuture<>();
    private volatile ConfigurationStatus currentStatus = ConfigurationStatus.NONE;

    // Of the loop.
    private ConfigurationTable told = ConfigurationTable.EMPTY;
    private boolean heard;

    // Of the worker.
    private Value base;
    private DistributedConfigurationCache.Kept kept;
    /** What is to be brought into force, newer than what is being applied; null for nothing. */
    private ConfigurationTable wanted;
    private boolean applying;
    /** The entries in force; null before the first, and as the base has changed since. */
    private List<Entry> entriesInForce;
    /** The entries that were refused last, by the base that holds; null where none were. */
    private List<Entry> entriesRefused;

    /** {@code worker}: runs one task at a time, in the order they come. */
    public DistributedConfiguration(Origin origin, Control control, Executor worker, ConfigurationTarget target) {
        this.subscription = origin.subscription();
        this.base = origin.base();
        this.folder = origin.folder();
        this.machine = origin.machine();
        this.loop = control.loop();
        this.worker = worker;
        this.target = target;
        keeping = origin.state() == null ? null : new DistributedConfigurationCache(origin.state(), subscription);
        List<String> names = control.replicas().stream().map(at -> at.getAddress().getHostAddress() + ":" + at.getPort()).toList();
        ReplicaSelector selector = new ReplicaSelector(subscription.node(), names, ThreadLocalRandom.current());
        watch = new ConfigurationWatch(loop, control.allocator(), control.replicas(), selector,
            "node=" + subscription.node() + "&service=" + subscription.service(), new Held());
    }

    /**
     * Begins. What comes is done once a first configuration is in force: of the control processes if one answers within 3 s, else the
     * one that was kept, else the node's own file alone. It fails with a {@link ConfigurationRefusedException} where none of these can be.
     */
    public CompletableFuture<Void> start() {
        work(() -> {
            kept = keeping == null ? null : keeping.read();
            ConfigurationTable from = kept == null ? ConfigurationTable.EMPTY : kept.table();
            loop.execute(() -> {
                told = from;
                watch.start();
                loop.schedule(this::startUnheard, START_PATIENCE_MS, TimeUnit.MILLISECONDS);
            });
        });
        return begun;
    }

    /** Ends the following; what is in force stays. */
    public void stop() {
        watch.stop();
    }

    /** How the node stands; from any thread. */
    public ConfigurationStatus currentStatus() {
        return currentStatus;
    }

    /** Takes another base, such as after SIGHUP, and lays the same entries over it; from any thread. */
    public void rebase(Value fresh) {
        work(() -> {
            base = fresh;
            entriesInForce = null;
            entriesRefused = null;
        });
        loop.execute(() -> {
            ConfigurationTable table = told;
            work(() -> want(table));
        });
    }

    // ---- on the loop ----

    private final class Held implements ConfigurationWatch.Receiver {
        @Override
        public ConfigurationVersion currentVersion() {
            return told.version();
        }

        @Override
        public ConfigurationTable.Outcome receive(Update update) {
            ConfigurationTable.ApplyResult applied = told.apply(update);
            boolean counts = applied.outcome() == ConfigurationTable.Outcome.APPLIED
                || applied.outcome() == ConfigurationTable.Outcome.UNCHANGED;
            if (counts && (!heard || applied.outcome() == ConfigurationTable.Outcome.APPLIED)) {
                heard = true;
                told = applied.table();
                work(() -> want(applied.table()));
            }
            return applied.outcome();
        }

        @Override
        public String reportParameters() {
            return currentStatus.parameters();
        }
    }

    private void startUnheard() {
        if (heard) {
            return;
        }
        ConfigurationTable table = told;
        work(() -> {
            if (!applying && entriesInForce == null && entriesRefused == null) {
                Log.line("configuration: no control process answers; starting with " + (kept == null ? "this node's file alone"
                    : table.version() + " as kept " + TimeUnit.MILLISECONDS.toSeconds(System.currentTimeMillis() - kept.at()) + " s ago"));
                want(table);
            }
        });
    }

    // ---- on the worker ----

    /** Runs a task there; one that fails by a mistake of this program is told to the log, and the next are run. */
    private void work(Runnable task) {
        worker.execute(() -> {
            try {
                task.run();
            } catch (RuntimeException e) {
                Log.failure("configuration", e);
            }
        });
    }

    private void want(ConfigurationTable table) {
        if (wanted == null || !wanted.version().isAfter(table.version())) {
            wanted = table;
        }
        proceed();
    }

    private void proceed() {
        if (applying || wanted == null) {
            return;
        }
        ConfigurationTable table = wanted;
        wanted = null;
        List<Entry> entries = table.entries(subscription);
        if (entries.equals(entriesInForce)) {
            // Nothing that concerns this node has changed.
            currentStatus = ConfigurationStatus.inForce(table.version());
        } else if (!entries.equals(entriesRefused)) {
            bringIntoForce(table, entries);
        }
    }

    private void bringIntoForce(ConfigurationTable table, List<Entry> entries) {
        Faults faults = new Faults();
        NodeConfig config = read(entries, faults);
        if (config == null) {
            Log.line("configuration: " + told(table) + " is refused, as it is at fault:");
            List<String> why = ConfigurationOverlay.entryFaultsFirst(entries, faults.list()).stream().limit(MOST_FAULTS_LOGGED)
                .map(Fault::toString).toList();
            why.forEach(Log::line);
            refused(table, entries, why, true);
            proceed();
            return;
        }
        applying = true;
        Value by = base;
        target.apply(config).whenCompleteAsync((failure, thrown) -> {
            applying = false;
            String wrong = thrown == null ? failure : String.valueOf(thrown.getMessage());
            if (wrong == null) {
                entriesInForce = by == base ? entries : null;
                inForce(table);
            } else {
                Log.line("configuration: " + told(table) + " changes nothing: " + wrong);
                refused(table, entries, List.of(wrong), false);
            }
            proceed();
        }, worker);
    }

    private static String told(ConfigurationTable table) {
        return table.version().equals(ConfigurationVersion.NONE) ? "this node's file alone" : table.version().toString();
    }

    /** The base with the entries over it; null where it is at fault. */
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
        Log.line("configuration: " + told(table) + " is in force");
        currentStatus = currentStatus.nowInForce(table.version());
        if (keeping != null && !table.version().equals(ConfigurationVersion.NONE)) {
            keeping.write(table, System.currentTimeMillis());
        }
        kept = null;
        begun.complete(null);
    }

    private void refused(ConfigurationTable table, List<Entry> entries, List<String> why, boolean faulty) {
        entriesRefused = entries;
        currentStatus = currentStatus.nowRefused(table.version(), why.get(0));
        if (!begun.isDone()) {
            fallBack(why, faulty);
        }
    }

    /** At a start there is no last good configuration that stays: what was kept is tried next, then the node's file alone. */
    private void fallBack(List<String> why, boolean faulty) {
        if (wanted != null) {
            return;
        }
        if (kept != null && !kept.table().entries(subscription).equals(entriesRefused)) {
            wanted = kept.table();
            kept = null;
            Log.line("configuration: starting with " + wanted.version() + " as kept");
        } else if (!entriesRefused.isEmpty()) {
            wanted = ConfigurationTable.EMPTY;
            Log.line("configuration: starting with this node's file alone");
        } else {
            begun.completeExceptionally(new ConfigurationRefusedException(why, faulty));
        }
    }
}
