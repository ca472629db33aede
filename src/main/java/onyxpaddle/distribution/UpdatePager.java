package onyxpaddle.distribution;

import java.util.List;

/** Splits large updates into pages at version boundaries: a page has either all or none of the changes of a version. */
public final class UpdatePager {
    /** Approximate JSON overhead of an entry in bytes: field names, quotes, version. */
    private static final int JSON_OVERHEAD = 64;

    private UpdatePager() {
    }

    /**
     * Returns the update itself if it is small enough, otherwise its first page.
     *
     * @param maxBytes approximate maximum size of a page in bytes of JSON; a single version's changes may exceed it
     */
    public static Update firstPage(Update update, long maxBytes) {
        List<Entry> entries = update.entries();
        long bytes = 0;
        int cut = 0;
        for (int i = 0; i < entries.size(); i++) {
            if (i > 0 && !entries.get(i).changedAt().equals(entries.get(i - 1).changedAt())) {
                cut = i;
            }
            bytes += estimatedBytes(entries.get(i));
            if (bytes > maxBytes && cut > 0) {
                return new Update(update.version(), update.full(), true, entries.subList(0, cut), update.staleMs(), update.history());
            }
        }
        return update;
    }

    /** Approximate size of an update in bytes of JSON. */
    public static long estimatedBytes(Update update) {
        return update.entries().stream().mapToLong(UpdatePager::estimatedBytes).sum() + 2 * JSON_OVERHEAD;
    }

    private static long estimatedBytes(Entry entry) {
        int value = entry.removed() ? 0 : entry.value().length();
        return JSON_OVERHEAD + entry.key().path().length() + entry.key().owner().length() + value;
    }
}
