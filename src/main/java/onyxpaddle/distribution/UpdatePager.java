package onyxpaddle.distribution;

import java.util.List;

/** Cuts large updates into pages, at the bounds between versions: a page has all or nothing of what one version changed. */
public final class UpdatePager {
    /** JSON around an entry: names, quotes, the version. */
    private static final int AROUND = 64;

    private UpdatePager() {
    }

    /**
     * The update itself where it is small enough, else its first page.
     *
     * @param mostBytes about how many bytes of JSON a page may have, if no single version has more
     */
    public static Update firstPage(Update update, long mostBytes) {
        List<Entry> entries = update.entries();
        long bytes = 0;
        int cut = 0;
        for (int i = 0; i < entries.size(); i++) {
            if (i > 0 && !entries.get(i).changedAt().equals(entries.get(i - 1).changedAt())) {
                cut = i;
            }
            bytes += estimatedBytes(entries.get(i));
            if (bytes > mostBytes && cut > 0) {
                return new Update(update.version(), update.full(), true, entries.subList(0, cut), update.staleMs(), update.history());
            }
        }
        return update;
    }

    /** About how many bytes of JSON an update has. */
    public static long estimatedBytes(Update update) {
        return update.entries().stream().mapToLong(UpdatePager::estimatedBytes).sum() + 2 * AROUND;
    }

    private static long estimatedBytes(Entry entry) {
        int value = entry.removed() ? 0 : entry.value().length();
        return AROUND + entry.key().path().length() + entry.key().owner().length() + value;
    }
}
