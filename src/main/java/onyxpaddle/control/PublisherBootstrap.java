package onyxpaddle.control;

import java.io.IOException;
import java.util.List;
import onyxpaddle.distribution.ConfigurationTable;

/** Determines a publisher's initial table, or refuses its start. An epoch must only be used by one publisher, on one disk. */
final class PublisherBootstrap {
    private final ControlSettings settings;
    private final StateStore store;
    private final StateStore.Loaded loaded;

    PublisherBootstrap(ControlSettings settings, StateStore store, StateStore.Loaded loaded) {
        this.settings = settings;
        this.store = store;
        this.loaded = loaded;
    }

    /** Returns the initial table of this publisher's epoch, which is durable. */
    ConfigurationTable initialTable() throws IOException, StartRefusedException, InterruptedException {
        long epoch = settings.epoch();
        if (loaded.epoch() > epoch || loaded.table().version().epoch() > epoch) {
            throw new StartRefusedException("epoch " + epoch + " is over: " + Math.max(loaded.epoch(), loaded.table().version().epoch())
                + " has been seen here; a publisher that takes over needs a higher one");
        }
        boolean restart = loaded.damage() == null && loaded.table().version().epoch() == epoch;
        if (restart) {
            // Its command line may still name the processes that it took over from.
            return loaded.table();
        }
        ConfigurationTable initial = settings.takeOverFrom().isEmpty() ? fromDisk() : fromTakeOver();
        store.write(initial);
        store.writeEpoch(epoch);
        return initial;
    }

    private ConfigurationTable fromDisk() throws StartRefusedException {
        boolean missing = loaded.table().version().epoch() == 0 && loaded.epoch() > 0;
        if (loaded.damage() != null || missing) {
            throw new StartRefusedException((missing ? "the stored configuration is missing, though an epoch is stored" : loaded.damage())
                + "; a publisher must not serve less than before: start it with a higher --epoch and --take-over-from a replica");
        }
        return loaded.table().version().epoch() == 0 ? ConfigurationTable.initial(settings.epoch())
            : loaded.table().withChanges(settings.epoch(), List.of());
    }

    private ConfigurationTable fromTakeOver() throws IOException, StartRefusedException, InterruptedException {
        ConfigurationTable copied = new TakeOver(settings).copy();
        ConfigurationTable newest = copied.version().isAfter(loaded.table().version()) ? copied : loaded.table();
        if (newest.version().epoch() >= settings.epoch()) {
            throw new StartRefusedException("epoch " + settings.epoch() + " has begun already: a replica is at " + newest.version()
                + "; take over with a higher --epoch");
        }
        return newest.withChanges(settings.epoch(), List.of());
    }
}
