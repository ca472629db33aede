package onyxpaddle.distribution;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Stream;

/**
 * An immutable state of the configuration: the latest value of each entry and the version that set it. Deltas are computed from
 * this state, so no change log is kept and a client may be any number of versions behind. The exception is removals: a bounded
 * number of tombstones is kept, and a client that is behind a dropped tombstone gets a full update. Successive tables share
 * unchanged parts.
 */
public final class ConfigurationTable {
    /** Maximum number of tombstones kept: a fleet of 1,000 nodes with ten sections each may remove all of them once. */
    public static final int MAX_TOMBSTONES = 10_000;
    /** The state before the first version. */
    public static final ConfigurationTable EMPTY =
        new ConfigurationTable(ConfigurationVersion.NONE, History.EMPTY, Map.of(), 0, MAX_TOMBSTONES);

    private static final Comparator<Entry> BY_CHANGE = Comparator.comparing(Entry::changedAt).thenComparing(Entry::key);

    /** The effect of an update on a table. */
    public enum Outcome {
        /** The table is now at the update's version. */
        APPLIED,
        /** The table was already at the update's version. */
        UNCHANGED,
        /** The update is older than the table and was ignored. */
        BEHIND,
        /** The delta is based on a state that the table does not descend from; it was ignored and a full update is needed. */
        GAP
    }

    /** The outcome of an update and the resulting table. */
    public record ApplyResult(Outcome outcome, ConfigurationTable table) {
    }

    /** A new value for an entry; {@code null} removes the entry. */
    public record Change(EntryKey key, String value) {
    }

    /** Identifies the entries that apply to the same nodes: a scope and its owner. */
    private record ScopeKey(Scope scope, String owner) {
        static final ScopeKey FLEET = new ScopeKey(Scope.FLEET, "");

        static ScopeKey of(EntryKey key) {
            return new ScopeKey(key.scope(), key.owner());
        }
    }

    /** The entries of one scope and owner, by path, and the version of the latest change among them. */
    private record ScopeEntries(Map<String, Entry> entries, ConfigurationVersion lastChange) {
        static final ScopeEntries EMPTY = new ScopeEntries(Map.of(), ConfigurationVersion.NONE);

        ScopeEntries with(Entry entry) {
            Map<String, Entry> next = new TreeMap<>(entries);
            next.put(entry.key().path(), entry);
            return new ScopeEntries(next, entry.changedAt().isAfter(lastChange) ? entry.changedAt() : lastChange);
        }

        ScopeEntries without(EntryKey key) {
            Map<String, Entry> next = new TreeMap<>(entries);
            next.remove(key.path());
            return new ScopeEntries(next, lastChange);
        }
    }

    private final ConfigurationVersion version;
    private final History history;
    private final Map<ScopeKey, ScopeEntries> entriesByScope;
    private final int tombstones;
    private final int maxTombstones;

    private ConfigurationTable(ConfigurationVersion version, History history, Map<ScopeKey, ScopeEntries> entriesByScope, int tombstones,
            int maxTombstones) {
        this.version = version;
        this.history = history;
        this.entriesByScope = entriesByScope;
        this.tombstones = tombstones;
        this.maxTombstones = maxTombstones;
    }

    /** An empty table that keeps at most this many tombstones. */
    static ConfigurationTable withMaxTombstones(int maxTombstones) {
        return new ConfigurationTable(ConfigurationVersion.NONE, History.EMPTY, Map.of(), 0, maxTombstones);
    }

    public ConfigurationVersion version() {
        return version;
    }

    public History history() {
        return history;
    }

    /** Returns the value of an entry, or {@code null} if there is none or it has been removed. */
    public String value(EntryKey key) {
        Entry entry = entry(key);
        return entry == null ? null : entry.value();
    }

    /** Returns an entry, including a removed one whose tombstone is still kept, or {@code null}. */
    public Entry entry(EntryKey key) {
        return entriesByScope.getOrDefault(ScopeKey.of(key), ScopeEntries.EMPTY).entries().get(key.path());
    }

    /** Returns the entries of a subscription in key order, without tombstones. */
    public List<Entry> entries(Subscription subscription) {
        return entriesOf(subscription).filter(entry -> !entry.removed()).sorted(Comparator.comparing(Entry::key)).toList();
    }

    /** Whether an entry of the subscription has changed since {@code after}, a version that this table descends from. */
    public boolean hasChangesSince(ConfigurationVersion after, Subscription subscription) {
        if (subscription.all()) {
            return version.isAfter(after);
        }
        return scopesOf(subscription).anyMatch(scopeEntries -> scopeEntries.lastChange().isAfter(after));
    }

    /** Whether a delta from that version can be computed; otherwise a full update is needed. */
    public boolean hasHistorySince(ConfigurationVersion after) {
        return after.epoch() > 0 && !history.floor().isAfter(after) && history.contains(version, after);
    }

    /**
     * Returns the update for a client at {@code after}: empty if the client is at or ahead of this version, the latest values
     * of the entries changed since if this table descends from that version, otherwise a full update.
     *
     * @param staleMs see {@link Update}
     */
    public Update deltaSince(ConfigurationVersion after, Subscription subscription, long staleMs) {
        History sentHistory = subscription.all() ? history : null;
        if (after.epoch() > 0 && !version.isAfter(after)) {
            return new Update(version, false, false, List.of(), staleMs, sentHistory);
        }
        if (!hasHistorySince(after)) {
            return fullUpdate(subscription, staleMs);
        }
        List<Entry> entries = scopesOf(subscription).filter(scopeEntries -> scopeEntries.lastChange().isAfter(after))
            .flatMap(scopeEntries -> scopeEntries.entries().values().stream())
            .filter(entry -> entry.changedAt().isAfter(after)).sorted(BY_CHANGE).toList();
        return new Update(version, false, false, entries, staleMs, sentHistory);
    }

    /** Returns all entries of a subscription. Replicas also get the tombstones, so that they can compute deltas themselves. */
    public Update fullUpdate(Subscription subscription, long staleMs) {
        List<Entry> entries = entriesOf(subscription).filter(entry -> subscription.all() || !entry.removed()).sorted(BY_CHANGE).toList();
        return new Update(version, true, false, entries, staleMs, subscription.all() ? history : null);
    }

    /**
     * Returns the remaining pages of a full update.
     *
     * @param after the latest change among the pages sent so far
     * @param pageOf the version of the full update's first page
     * @return a full update that starts over if tombstones since {@code pageOf} have been dropped
     */
    public Update remainingFullUpdate(ConfigurationVersion after, ConfigurationVersion pageOf, Subscription subscription, long staleMs) {
        if (!hasHistorySince(pageOf)) {
            return fullUpdate(subscription, staleMs);
        }
        List<Entry> entries = entriesOf(subscription).filter(entry -> entry.changedAt().isAfter(after))
            .filter(entry -> subscription.all() || !entry.removed() || entry.changedAt().isAfter(pageOf)).sorted(BY_CHANGE).toList();
        return new Update(version, false, false, entries, staleMs, subscription.all() ? history : null);
    }

    /**
     * Returns the next version of the table with a publisher's changes; without changes only the version number increases.
     *
     * @param epoch the publisher's epoch, not below this table's
     */
    public ConfigurationTable withChanges(long epoch, Collection<Change> changes) {
        if (epoch < version.epoch()) {
            throw new IllegalArgumentException("epoch " + epoch + " is below that of " + version);
        }
        ConfigurationVersion next = new ConfigurationVersion(epoch, version.number() + 1);
        List<Entry> entries = changes.stream().map(change -> new Entry(change.key(), change.value(), next)).toList();
        return withEntries(next, historyAtEpoch(next.epoch()), entriesByScope, tombstones, entries);
    }

    /** The table at a publisher's first start: version {@code epoch.0}, without entries. */
    public static ConfigurationTable initial(long epoch) {
        return EMPTY.withEntries(new ConfigurationVersion(epoch, 0), History.EMPTY, Map.of(), 0, List.of());
    }

    /** Applies an update from a control process; the version never decreases. */
    public ApplyResult apply(Update update) {
        if (version.isAfter(update.version())) {
            return new ApplyResult(Outcome.BEHIND, this);
        }
        if (version.equals(update.version())) {
            return new ApplyResult(Outcome.UNCHANGED, this);
        }
        if (update.more() || !update.full() && isGap(update)) {
            return new ApplyResult(Outcome.GAP, this);
        }
        return new ApplyResult(Outcome.APPLIED, update.full() ? replaceWith(update) : applyDelta(update));
    }

    private boolean isGap(Update update) {
        return version.epoch() == 0 || update.history() != null && !update.history().contains(update.version(), version);
    }

    private ConfigurationTable replaceWith(Update update) {
        // A full update for a node has no tombstones, so deltas from earlier versions could not include removals.
        History nextHistory = update.history() == null ? new History(update.version(), List.of()) : update.history();
        return withEntries(update.version(), nextHistory, Map.of(), 0, update.entries());
    }

    private ConfigurationTable applyDelta(Update update) {
        History nextHistory = update.history() == null ? historyAtEpoch(update.version().epoch())
            : new History(history.floor(), update.history().epochEnds());
        return withEntries(update.version(), nextHistory, entriesByScope, tombstones, update.entries());
    }

    private History historyAtEpoch(long epoch) {
        if (version.epoch() == 0 || version.epoch() == epoch) {
            return history;
        }
        List<ConfigurationVersion> epochEnds = new ArrayList<>(history.epochEnds());
        epochEnds.add(version);
        return new History(history.floor(), epochEnds);
    }

    private ConfigurationTable withEntries(ConfigurationVersion nextVersion, History nextHistory, Map<ScopeKey, ScopeEntries> base,
            int baseTombstones, List<Entry> entries) {
        Map<ScopeKey, ScopeEntries> next = new HashMap<>(base);
        int removed = baseTombstones;
        for (Entry entry : entries) {
            ScopeEntries scopeEntries = next.getOrDefault(ScopeKey.of(entry.key()), ScopeEntries.EMPTY);
            Entry old = scopeEntries.entries().get(entry.key().path());
            removed += (entry.removed() ? 1 : 0) - (old != null && old.removed() ? 1 : 0);
            next.put(ScopeKey.of(entry.key()), scopeEntries.with(entry));
        }
        ConfigurationTable table = new ConfigurationTable(nextVersion, nextHistory, next, removed, maxTombstones);
        return removed > maxTombstones ? table.dropOldestTombstones() : table;
    }

    /** Drops the older half of the tombstones, so that trimming is rare. */
    private ConfigurationTable dropOldestTombstones() {
        List<Entry> oldest = entriesOf(Subscription.ALL).filter(Entry::removed).sorted(BY_CHANGE)
            .limit(tombstones - maxTombstones / 2).toList();
        Map<ScopeKey, ScopeEntries> next = new HashMap<>(entriesByScope);
        oldest.forEach(entry -> next.computeIfPresent(ScopeKey.of(entry.key()), (scope, entries) -> entries.without(entry.key())));
        History nextHistory = new History(oldest.get(oldest.size() - 1).changedAt(), history.epochEnds());
        return new ConfigurationTable(version, nextHistory, next, tombstones - oldest.size(), maxTombstones);
    }

    private Stream<ScopeEntries> scopesOf(Subscription subscription) {
        if (subscription.all()) {
            return entriesByScope.values().stream();
        }
        return Stream.of(ScopeKey.FLEET, new ScopeKey(Scope.SERVICE, subscription.service()), new ScopeKey(Scope.NODE, subscription.node()))
            .map(entriesByScope::get).filter(scopeEntries -> scopeEntries != null);
    }

    private Stream<Entry> entriesOf(Subscription subscription) {
        return scopesOf(subscription).flatMap(scopeEntries -> scopeEntries.entries().values().stream());
    }
}
