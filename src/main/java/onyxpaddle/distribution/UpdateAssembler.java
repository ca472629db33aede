package onyxpaddle.distribution;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.Map;

/** Puts the pages of one update together. Holds at most {@link UpdateJson#MAX_ENTRIES} entries. */
public final class UpdateAssembler {
    private final Map<EntryKey, Entry> entries = new LinkedHashMap<>();
    private boolean whole;
    private ConfigurationVersion firstPageVersion = ConfigurationVersion.NONE;

    /**
     * Takes the next page.
     *
     * @return the whole update, without {@code more}, once the page was the last; null where more have to come
     * @throws IllegalStateException for more entries than are held; the assembly is empty then
     */
    public Update add(Update page) {
        if (page.full()) {
            clear();
            whole = true;
            firstPageVersion = page.version();
        }
        for (Entry entry : page.entries()) {
            entries.put(entry.key(), entry);
        }
        if (entries.size() > UpdateJson.MAX_ENTRIES) {
            clear();
            throw new IllegalStateException("more than " + UpdateJson.MAX_ENTRIES + " entries in one update");
        }
        if (page.more()) {
            return null;
        }
        Update update = new Update(page.version(), whole, false, new ArrayList<>(entries.values()), page.staleMs(), page.history());
        clear();
        return update;
    }

    /** Whether pages are held that await more. */
    public boolean inProgress() {
        return whole || !entries.isEmpty();
    }

    /** Of a whole in pages: the version of its first page, to be named as {@code page_of}; {@code NONE} for a difference. */
    public ConfigurationVersion firstPageVersion() {
        return firstPageVersion;
    }

    /** Forgets the pages so far. */
    public void clear() {
        entries.clear();
        whole = false;
        firstPageVersion = ConfigurationVersion.NONE;
    }
}
