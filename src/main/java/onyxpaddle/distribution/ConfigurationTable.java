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
 * A state of the configuration: the newest value of each entry with the version that gave it. Differences are computed from
 * that, so that there is no log and no bound on how far behind one may be, but for removed entries: of these a stated count
 * is kept, and whoever is behind the dropped ones gets a whole. Immutable; tables share what is the same in them.
 */
public final class ConfigurationTable {
    /** How many removed entries are kept; a fleet of 1,000 nodes with ten sections each may remove all of them once. */
    public static final int MOST_TOMBSTONES = 10_000;
    /** Before the first version. */
    public static final ConfigurationTable EMPTY =
        new ConfigurationTable(ConfigurationVersion.NONE, History.EMPTY, Map.of(), 0, MOST_TOMBSTONES);

    private static final Comparator<Entry> BY_CHANGE = Comparator.comparing(Entry::changedAt).thenComparing(Entry::key);

    /** What an update did to a table. */
    public enum Outcome {
        /** The table is at the update's version now. */
        APPLIED,
        /** It was at that version before. */
        UNCHANGED,
        /** The update is older than the table; nothing changed. */
        BEHIND,
        /** The update is a difference to something that the table does not have; ask for a whole. Nothing changed. */
        GAP
    }

    /** An outcome with the table that holds after it. */
    public record ApplyResult(Outcome outcome, ConfigurationTable table) {
    }

    /** A new value for an entry; null removes it. */
    public record Change(EntryKey key, String value) {
    }

    /** Who the entries of a group concern. */
    private record Group(Scope scope, String owner) {
        static final Group FLEET = new Group(Scope.FLEET, "");

        static Group of(EntryKey key) {
            return new Group(key.scope(), key.owner());
        }
    }

    /** The entries of one group, by path, and the newest change among them. */
    private record Section(Map<String, Entry> entries, ConfigurationVersion newest) {
        static final Section EMPTY = new Section(Map.of(), ConfigurationVersion.NONE);

        Section with(Entry entry) {
            Map<String, Entry> next = new TreeMap<>(entries);
            next.put(entry.key().path(), entry);
            return new Section(next, entry.changedAt().isAfter(newest) ? entry.changedAt() : newest);
        }

        Section without(EntryKey key) {
            Map<String, Entry> next = new TreeMap<>(entries);
            next.remove(key.path());
            return new Section(next, newest);
        }
    }

    private final ConfigurationVersion version;
    private final History history;
    private final Map<Group, Section> sections;
    private final int tombstones;
    private final int mostTombstones;

    private ConfigurationTable(ConfigurationVersion version, History history, Map<Group, Section> sections, int tombstones,
            int mostTombstones) {
        this.version = version;
        this.history = history;
        this.sections = sections;
        this.tombstones = tombstones;
        this.mostTombstones = mostTombstones;
    }

    /** An empty table that keeps this many removed entries. */
    static ConfigurationTable keeping(int mostTombstones) {
        return new ConfigurationTable(ConfigurationVersion.NONE, History.EMPTY, Map.of(), 0, mostTombstones);
    }

    public ConfigurationVersion version() {
        return version;
    }

    public History history() {
        return history;
    }

    /** The value of an entry, or null where there is none or it has been removed. */
    public String value(EntryKey key) {
        Entry entry = entry(key);
        return entry == null ? null : entry.value();
    }

    /** An entry, removed ones too while they are kept, or null. */
    public Entry entry(EntryKey key) {
        return sections.getOrDefault(Group.of(key), Section.EMPTY).entries().get(key.path());
    }

    /** The entries that an subscription has, without removed ones, in the order of their keys. */
    public List<Entry> entries(Subscription subscription) {
        return all(subscription).filter(entry -> !entry.removed()).sorted(Comparator.comparing(Entry::key)).toList();
    }

    /** Whether something that matches the subscription has changed since a version that this table goes back to. */
    public boolean hasChangesSince(ConfigurationVersion after, Subscription subscription) {
        if (subscription.all()) {
            return version.isAfter(after);
        }
        return of(subscription).anyMatch(section -> section.newest().isAfter(after));
    }

    /** Whether a difference after that version can be told; if not, a whole has to be. */
    public boolean hasHistorySince(ConfigurationVersion after) {
        return after.epoch() > 0 && !history.floor().isAfter(after) && history.reaches(version, after);
    }

    /**
     * What has to be told to somebody at {@code after}: nothing where it is ahead of this table or level with it, the newest
     * values of what changed since where this table goes back to it, else a whole.
     *
     * @param staleMs as in {@link Update}
     */
    public Update deltaSince(ConfigurationVersion after, Subscription subscription, long staleMs) {
        History told = subscription.all() ? history : null;
        if (after.epoch() > 0 && !version.isAfter(after)) {
            return new Update(version, false, false, List.of(), staleMs, told);
        }
        if (!hasHistorySince(after)) {
            return fullUpdate(subscription, staleMs);
        }
        List<Entry> entries = of(subscription).filter(section -> section.newest().isAfter(after))
            .flatMap(section -> section.entries().values().stream())
            .filter(entry -> entry.changedAt().isAfter(after)).sorted(BY_CHANGE).toList();
        return new Update(version, false, false, entries, staleMs, told);
    }

    /** All that matches an subscription; for replicas with the removed entries, so that they can tell differences too. */
    public Update fullUpdate(Subscription subscription, long staleMs) {
        List<Entry> entries = all(subscription).filter(entry -> subscription.all() || !entry.removed()).sorted(BY_CHANGE).toList();
        return new Update(version, true, false, entries, staleMs, subscription.all() ? history : null);
    }

    /**
     * What remains of a whole in pages.
     *
     * @param after the newest change of the pages told so far
     * @param pageOf the version of the whole's first page
     * @return a whole that begins anew, where removals since {@code pageOf} can't be told any more
     */
    public Update remainingFullUpdate(ConfigurationVersion after, ConfigurationVersion pageOf, Subscription subscription, long staleMs) {
        if (!hasHistorySince(pageOf)) {
            return fullUpdate(subscription, staleMs);
        }
        List<Entry> entries = all(subscription).filter(entry -> entry.changedAt().isAfter(after))
            .filter(entry -> subscription.all() || !entry.removed() || entry.changedAt().isAfter(pageOf)).sorted(BY_CHANGE).toList();
        return new Update(version, false, false, entries, staleMs, subscription.all() ? history : null);
    }

    /**
     * The table after a publisher's changes, as its next version; without changes: only the version goes on.
     *
     * @param epoch the publisher's, not below this table's
     */
    public ConfigurationTable withChanges(long epoch, Collection<Change> changes) {
        if (epoch < version.epoch()) {
            throw new IllegalArgumentException("epoch " + epoch + " is below that of " + version);
        }
        ConfigurationVersion next = new ConfigurationVersion(epoch, version.number() + 1);
        List<Entry> entries = changes.stream().map(change -> new Entry(change.key(), change.value(), next)).toList();
        return next(next, withEnd(next.epoch()), sections, tombstones, entries);
    }

    /** The table of a publisher's first start: version {@code epoch.0}, without entries. */
    public static ConfigurationTable initial(long epoch) {
        return EMPTY.next(new ConfigurationVersion(epoch, 0), History.EMPTY, Map.of(), 0, List.of());
    }

    /** Takes what a control process told; never goes backwards. */
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
        return new ApplyResult(Outcome.APPLIED, update.full() ? replaced(update) : moved(update));
    }

    private boolean isGap(Update update) {
        return version.epoch() == 0 || update.history() != null && !update.history().reaches(update.version(), version);
    }

    private ConfigurationTable replaced(Update update) {
        // A node's whole has no removed entries: a difference after an earlier version could not name them.
        History past = update.history() == null ? new History(update.version(), List.of()) : update.history();
        return next(update.version(), past, Map.of(), 0, update.entries());
    }

    private ConfigurationTable moved(Update update) {
        History past = update.history() == null ? withEnd(update.version().epoch())
            : new History(history.floor(), update.history().ends());
        return next(update.version(), past, sections, tombstones, update.entries());
    }

    private History withEnd(long epoch) {
        if (version.epoch() == 0 || version.epoch() == epoch) {
            return history;
        }
        List<ConfigurationVersion> ends = new ArrayList<>(history.ends());
        ends.add(version);
        return new History(history.floor(), ends);
    }

    private ConfigurationTable next(ConfigurationVersion at, History past, Map<Group, Section> before, int removedBefore,
            List<Entry> entries) {
        Map<Group, Section> next = new HashMap<>(before);
        int removed = removedBefore;
        for (Entry entry : entries) {
            Section section = next.getOrDefault(Group.of(entry.key()), Section.EMPTY);
            Entry old = section.entries().get(entry.key().path());
            removed += (entry.removed() ? 1 : 0) - (old != null && old.removed() ? 1 : 0);
            next.put(Group.of(entry.key()), section.with(entry));
        }
        ConfigurationTable table = new ConfigurationTable(at, past, next, removed, mostTombstones);
        return removed > mostTombstones ? table.trimmed() : table;
    }

    /** Drops the older half of the removed entries, so that this is rare. */
    private ConfigurationTable trimmed() {
        List<Entry> oldest = all(Subscription.ALL).filter(Entry::removed).sorted(BY_CHANGE).limit(tombstones - mostTombstones / 2).toList();
        Map<Group, Section> next = new HashMap<>(sections);
        oldest.forEach(entry -> next.computeIfPresent(Group.of(entry.key()), (group, section) -> section.without(entry.key())));
        History past = new History(oldest.get(oldest.size() - 1).changedAt(), history.ends());
        return new ConfigurationTable(version, past, next, tombstones - oldest.size(), mostTombstones);
    }

    private Stream<Section> of(Subscription subscription) {
        if (subscription.all()) {
            return sections.values().stream();
        }
        return Stream.of(Group.FLEET, new Group(Scope.SERVICE, subscription.service()), new Group(Scope.NODE, subscription.node()))
            .map(sections::get).filter(section -> section != null);
    }

    private Stream<Entry> all(Subscription subscription) {
        return of(subscription).flatMap(section -> section.entries().values().stream());
    }
}
