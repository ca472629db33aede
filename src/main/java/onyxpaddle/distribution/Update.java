package onyxpaddle.distribution;

import java.util.List;

/**
 * The answer of a control process: a delta with the latest values of what changed since the requested version, or a full
 * update.
 *
 * <p>A large update is split into pages. All but the last have {@code more}; the next page is requested with {@code after} set
 * to {@link #lastChange} and, for a full update, {@code page_of} set to the {@code version} of its first page. Only the first
 * page of a full update has {@code full}, in JSON {@code whole}: such a page starts over. {@link UpdateAssembler} joins the
 * pages.
 *
 * @param version the sender's version; that of the last page is the client's version once it has applied all pages
 * @param full the entries replace all entries of the client
 * @param more another page follows; nothing is applied before the last one
 * @param entries each key once; tombstones only if the client may have the entry or is a replica
 * @param staleMs milliseconds since the sender last heard from the publisher, directly or through other replicas; 0 for the
 *     publisher itself, {@link #NO_PUBLISHER_CONTACT} for a sender that has not heard from it since its start
 * @param history for replicas; {@code null} for nodes
 */
public record Update(ConfigurationVersion version, boolean full, boolean more, List<Entry> entries, long staleMs,
        History history) {
    public static final long NO_PUBLISHER_CONTACT = -1;

    public Update {
        entries = List.copyOf(entries);
    }

    /** Creates an update for a node. */
    public Update(ConfigurationVersion version, boolean full, boolean more, List<Entry> entries, long staleMs) {
        this(version, full, more, entries, staleMs, null);
    }

    /** The latest change among the entries, after which the next page is requested; {@code NONE} without entries. */
    public ConfigurationVersion lastChange() {
        return entries.stream().map(Entry::changedAt).max(ConfigurationVersion::compareTo).orElse(ConfigurationVersion.NONE);
    }
}
