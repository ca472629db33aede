package onyxpaddle.control;

import java.io.IOException;
import java.util.List;
import onyxpaddle.distribution.ConfigurationTable;

/** With which table a publisher begins, or why it must not. An epoch is used by one publisher, on one disk, only. */
final class PublisherStart {
    private final ControlSettings settings;
    private final StateStore store;
    private final StateStore.Loaded loaded;

    PublisherStart(ControlSettings settings, StateStore store, StateStore.Loaded loaded) {
        this.settings = settings;
        this.store = store;
        this.loaded = loaded;
    }

    /** The table, durable; of this publisher's epoch. */
    ConfigurationTable table() throws IOException, StartRefusedException, InterruptedException {
        long epoch = settings.epoch();
        if (loaded.epoch() > epoch || loaded.table().version().epoch() > epoch) {
            throw new StartRefusedException("epoch " + epoch + " is over: " + Math.max(loaded.epoch(), loaded.table().version().epoch())
                + " has been seen here; a publisher that is to take over needs a higher one");
        }
        boolean own = loaded.damage() == null && loaded.table().version().epoch() == epoch;
        if (own) {
            // A restart; also with the take-over still on its command line.
            return loaded.table();
        }
        ConfigurationTable begun = settings.takeOverFrom().isEmpty() ? fromDisk() : takenOver();
        store.write(begun);
        store.writeEpoch(epoch);
        return begun;
    }

    private ConfigurationTable fromDisk() throws StartRefusedException {
        boolean lost = loaded.table().version().epoch() == 0 && loaded.epoch() > 0;
        if (loaded.damage() != null || lost) {
            throw new StartRefusedException((lost ? "the configuration is missing beside a known epoch" : loaded.damage())
                + "; a publisher must not tell less than it told: start it with a higher --epoch and --take-over-from a replica");
        }
        return loaded.table().version().epoch() == 0 ? ConfigurationTable.initial(settings.epoch())
            : loaded.table().withChanges(settings.epoch(), List.of());
    }

    private ConfigurationTable takenOver() throws IOException, StartRefusedException, InterruptedException {
        ConfigurationTable copied = new TakeOver(settings).copy();
        ConfigurationTable newest = copied.version().isAfter(loaded.table().version()) ? copied : loaded.table();
        if (newest.version().epoch() >= settings.epoch()) {
            throw new StartRefusedException("epoch " + settings.epoch() + " has begun already: a replica is at " + newest.version()
                + "; take over with a higher --epoch");
        }
        return newest.withChanges(settings.epoch(), List.of());
    }
}
