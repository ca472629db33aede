package onyxpaddle.control;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import onyxpaddle.distribution.ConfigurationTable;
import onyxpaddle.distribution.Subscription;
import onyxpaddle.distribution.MalformedUpdateException;
import onyxpaddle.distribution.SnapshotFile;
import onyxpaddle.distribution.SnapshotFile.Fallback;
import onyxpaddle.distribution.SnapshotFile.ReadResult;
import onyxpaddle.distribution.SnapshotFile.Intact;
import onyxpaddle.distribution.SnapshotFile.Corrupt;
import onyxpaddle.distribution.UpdateJson;

/** A control process's state on disk: its table and the highest epoch seen. Blocking; for one thread at a time. */
final class StateStore {
    /**
     * The state found on disk.
     *
     * @param table {@code EMPTY} for none
     * @param epoch the highest epoch seen; 0 for none
     * @param damage what can't be read; null if everything can
     */
    record Loaded(ConfigurationTable table, long epoch, String damage) {
    }

    private final SnapshotFile tables;
    private final SnapshotFile epochs;

    StateStore(Path folder) {
        tables = new SnapshotFile(folder, "configuration");
        epochs = new SnapshotFile(folder, "epoch");
    }

    Loaded load() {
        ReadResult table = tables.read();
        ReadResult epoch = epochs.read();
        String damage = damage(table) != null ? damage(table) : damage(epoch);
        try {
            byte[] text = bytes(epoch);
            return new Loaded(table(bytes(table)), text == null ? 0 : Long.parseLong(new String(text, StandardCharsets.US_ASCII)), damage);
        } catch (MalformedUpdateException | NumberFormatException e) {
            return new Loaded(ConfigurationTable.EMPTY, 0, "the state on disk can't be read: " + e.getMessage());
        }
    }

    private static ConfigurationTable table(byte[] bytes) throws MalformedUpdateException {
        return bytes == null ? ConfigurationTable.EMPTY : ConfigurationTable.EMPTY.apply(UpdateJson.read(bytes)).table();
    }

    private static byte[] bytes(ReadResult found) {
        return found instanceof Intact intact ? intact.bytes() : found instanceof Fallback fallback ? fallback.bytes() : null;
    }

    private static String damage(ReadResult found) {
        return found instanceof Fallback fallback ? fallback.damage() : found instanceof Corrupt corrupt ? corrupt.damage() : null;
    }

    /** Returns the stored form of a table; more than {@link UpdateJson#MAX_BYTES} can't be read back. */
    static byte[] encode(ConfigurationTable table) {
        return UpdateJson.write(table.fullUpdate(Subscription.ALL, 0));
    }

    void write(ConfigurationTable table) throws IOException {
        byte[] bytes = encode(table);
        if (bytes.length > UpdateJson.MAX_BYTES) {
            throw new IOException("the configuration has " + bytes.length + " bytes; at most " + UpdateJson.MAX_BYTES + " can be stored");
        }
        tables.write(bytes);
    }

    void writeEpoch(long epoch) throws IOException {
        epochs.write(Long.toString(epoch).getBytes(StandardCharsets.US_ASCII));
    }
}
