package onyxpaddle.serve;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Path;
import java.util.Arrays;
import onyxpaddle.distribution.ConfigurationTable;
import onyxpaddle.distribution.Subscription;
import onyxpaddle.distribution.MalformedUpdateException;
import onyxpaddle.distribution.SnapshotFile;
import onyxpaddle.distribution.Update;
import onyxpaddle.distribution.UpdateJson;
import onyxpaddle.node.Log;

/**
 * The entries that were in force last, on disk, for a start without any control process. Written as a time (8 bytes, milliseconds since
 * 1970, for people alone) and an update. Reading and writing wait for the disk; one thread at a time.
 */
final class DistributedConfigurationCache {
    private final SnapshotFile file;
    private final Subscription subscription;
    /** A write failed and none has gone well since; said once. */
    private boolean failing;

    /** Entries, and when they were kept, in milliseconds since 1970. */
    record Kept(ConfigurationTable table, long at) {
    }

    /** In a folder of several nodes each has files of its own; so has a node beside another service, to which other entries belong. */
    DistributedConfigurationCache(Path folder, Subscription subscription) {
        this.subscription = subscription;
        file = new SnapshotFile(folder, "configuration-" + subscription.node() + "--" + subscription.service());
    }

    /** What was kept; null where nothing was, or nothing can be read, which the log says. */
    Kept read() {
        SnapshotFile.ReadResult found = file.read();
        if (found instanceof SnapshotFile.Intact sound) {
            return decoded(sound.bytes());
        }
        if (found instanceof SnapshotFile.Fallback older) {
            Log.line("configuration: of what was kept the newest is damaged, the one before is used: " + older.damage());
            return decoded(older.bytes());
        }
        if (found instanceof SnapshotFile.Corrupt torn) {
            Log.line("configuration: what was kept is damaged and not used: " + torn.damage());
        }
        return null;
    }

    private static Kept decoded(byte[] bytes) {
        if (bytes.length < Long.BYTES) {
            Log.line("configuration: what was kept is too short, and not used");
            return null;
        }
        try {
            Update update = UpdateJson.read(Arrays.copyOfRange(bytes, Long.BYTES, bytes.length));
            return new Kept(ConfigurationTable.EMPTY.apply(update).table(), ByteBuffer.wrap(bytes).getLong());
        } catch (MalformedUpdateException e) {
            Log.line("configuration: what was kept can't be read, and is not used: " + e.getMessage());
            return null;
        }
    }

    /** Keeps a state in the place of the one before. A disk that refuses is told to the log; the node goes on. */
    void write(ConfigurationTable table, long at) {
        byte[] json = UpdateJson.write(table.fullUpdate(subscription, 0));
        try {
            file.write(ByteBuffer.allocate(Long.BYTES + json.length).putLong(at).put(json).array());
            if (failing) {
                Log.line("configuration: kept on disk again");
            }
            failing = false;
        } catch (IOException e) {
            if (!failing) {
                Log.line("configuration: " + table.version() + " is in force but can't be kept on disk: " + e.getMessage());
            }
            failing = true;
        }
    }
}
