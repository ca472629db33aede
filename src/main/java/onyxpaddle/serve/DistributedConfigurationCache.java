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
 * Caches the entries last in force on disk, for a start while no control process answers. The file holds a time (8 bytes, milliseconds
 * since 1970, used in log lines only) and an update. Reads and writes block on the disk. Not thread-safe.
 */
final class DistributedConfigurationCache {
    private final SnapshotFile file;
    private final Subscription subscription;
    /** The last write failed; only the first failure in a row is logged. */
    private boolean writeFailing;

    /** Entries, and when they were cached, in milliseconds since 1970. */
    record Cached(ConfigurationTable table, long writtenAt) {
    }

    /** File names contain node and service, as several nodes may share a folder and the entries of interest differ by service. */
    DistributedConfigurationCache(Path folder, Subscription subscription) {
        this.subscription = subscription;
        file = new SnapshotFile(folder, "configuration-" + subscription.node() + "--" + subscription.service());
    }

    /** The cached entries; null if there are none or they are unreadable, which is logged. */
    Cached read() {
        SnapshotFile.ReadResult found = file.read();
        if (found instanceof SnapshotFile.Intact sound) {
            return decode(sound.bytes());
        }
        if (found instanceof SnapshotFile.Fallback older) {
            Log.line("configuration: the newest cache file is damaged, using the previous one: " + older.damage());
            return decode(older.bytes());
        }
        if (found instanceof SnapshotFile.Corrupt torn) {
            Log.line("configuration: the cache is damaged and ignored: " + torn.damage());
        }
        return null;
    }

    private static Cached decode(byte[] bytes) {
        if (bytes.length < Long.BYTES) {
            Log.line("configuration: the cache file is truncated and ignored");
            return null;
        }
        try {
            Update update = UpdateJson.read(Arrays.copyOfRange(bytes, Long.BYTES, bytes.length));
            return new Cached(ConfigurationTable.EMPTY.apply(update).table(), ByteBuffer.wrap(bytes).getLong());
        } catch (MalformedUpdateException e) {
            Log.line("configuration: the cache file cannot be parsed and is ignored: " + e.getMessage());
            return null;
        }
    }

    /** Replaces the cached entries. A failed write is logged and otherwise ignored. */
    void write(ConfigurationTable table, long writtenAt) {
        byte[] json = UpdateJson.write(table.fullUpdate(subscription, 0));
        try {
            file.write(ByteBuffer.allocate(Long.BYTES + json.length).putLong(writtenAt).put(json).array());
            if (writeFailing) {
                Log.line("configuration: cache writes succeed again");
            }
            writeFailing = false;
        } catch (IOException e) {
            if (!writeFailing) {
                Log.line("configuration: " + table.version() + " is in force but could not be written to the cache: " + e.getMessage());
            }
            writeFailing = true;
        }
    }
}
