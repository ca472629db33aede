package onyxpaddle.distribution;

import java.util.List;

/**
 * What a control process tells: the newest values of what has changed since the version that was asked after, or a whole.
 *
 * <p>A large one comes in pages. All but the last have {@code more}; the next page is asked for with {@code after} as
 * {@link #lastChange} says, and for pages of a whole with {@code page_of} as the first page's {@code version}. Only the first
 * page of a whole has {@code whole}: a page with it begins anew. {@link UpdateAssembler} puts pages together.
 *
 * @param version the teller's version; of the last page: what the asker has once it has applied all pages
 * @param full the entries replace all that the asker has
 * @param more another page follows; nothing applies until the last
 * @param entries each key once; removed entries among them only where the asker may have them or is a replica
 * @param staleMs how many milliseconds ago the teller last heard from the publisher, by way of others too; 0 for the publisher
 *     itself, {@link #NO_PUBLISHER_CONTACT} for a teller that has not since its start
 * @param history for replicas; null for nodes
 */
public record Update(ConfigurationVersion version, boolean full, boolean more, List<Entry> entries, long staleMs,
        History history) {
    public static final long NO_PUBLISHER_CONTACT = -1;

    public Update {
        entries = List.copyOf(entries);
    }

    /** An update as nodes get it. */
    public Update(ConfigurationVersion version, boolean full, boolean more, List<Entry> entries, long staleMs) {
        this(version, full, more, entries, staleMs, null);
    }

    /** The newest change among the entries: after which the next page is asked for; {@code NONE} without entries. */
    public ConfigurationVersion lastChange() {
        return entries.stream().map(Entry::changedAt).max(ConfigurationVersion::compareTo).orElse(ConfigurationVersion.NONE);
    }
}
