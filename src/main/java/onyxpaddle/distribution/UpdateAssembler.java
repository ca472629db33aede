package onyxpaddle.distribution;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.Map;

/** Joins the pages of one update. Holds at most {@link UpdateJson#MAX_ENTRIES} entries. */
public final class UpdateAssembler {
    private final Map<EntryKey, Entry> entries = new LinkedHashMap<>();
    private boolean full;
    private ConfigurationVersion firstPageVersion = ConfigurationVersion.NONE;

    /**
     * Adds the next page.
     *
     * @return the complete update, without {@code more}, after the last page; {@code null} if more pages follow
     * @throws IllegalStateException if there are too many entries; the assembler is empty afterwards
     */
    public Update add(Update page) {
        if (page.full()) {
            clear();
            full = true;
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
        Update update = new Update(page.version(), full, false, new ArrayList<>(entries.values()), page.staleMs(), page.history());
        clear();
        return update;
    }

    /** Whether pages have been added and more are expected. */
    public boolean inProgress() {
        return full || !entries.isEmpty();
    }

    /** The version of the first page of a full update, to be sent as {@code page_of}; {@code NONE} for a delta. */
    public ConfigurationVersion firstPageVersion() {
        return firstPageVersion;
    }

    /** Discards the pages added so far. */
    public void clear() {
        entries.clear();
        full = false;
        firstPageVersion = ConfigurationVersion.NONE;
    }
}
