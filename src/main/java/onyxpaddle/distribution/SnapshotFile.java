package onyxpaddle.distribution;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.Arrays;
import java.util.zip.CRC32C;

/**
 * Stores a state durably in two files. Each write replaces the older one: it writes and syncs a temporary file, renames it over
 * the older file, then syncs the folder. A crash at any time leaves the newest state whose write has returned. Each file has a
 * checksum, so later damage is detected and reported by the next read.
 *
 * <p>File format, big-endian: magic (8 bytes), generation (8), length (4), CRC-32C of generation, length and content (4),
 * content. For one thread at a time, not an event loop, as it blocks on disk I/O.
 */
public final class SnapshotFile {
    /** Maximum size of a state: four updates of the maximum size. */
    public static final int MAX_BYTES = 4 * UpdateJson.MAX_BYTES;

    private static final byte[] MAGIC = "lupsnap1".getBytes(StandardCharsets.US_ASCII);
    private static final int CHECKSUMMED_HEADER = Long.BYTES + Integer.BYTES;
    private static final int HEADER_BYTES = MAGIC.length + CHECKSUMMED_HEADER + Integer.BYTES;

    /** The result of a read. */
    public sealed interface ReadResult permits Intact, Fallback, Corrupt, Missing {
    }

    /** The newest state written. */
    public record Intact(byte[] bytes) implements ReadResult {
    }

    /** An intact state, found beside a damaged or missing file that may have held a newer one. */
    public record Fallback(byte[] bytes, String damage) implements ReadResult {
    }

    /** A state was written, but none can be read. */
    public record Corrupt(String damage) implements ReadResult {
    }

    /** No state was ever written. */
    public record Missing() implements ReadResult {
    }

    /** One of the two files as read: intact with its generation, damaged with a reason, or absent with neither. */
    private record Slot(long generation, byte[] bytes, String damage) {
        boolean intact() {
            return bytes != null;
        }

        boolean absent() {
            return bytes == null && damage == null;
        }
    }

    private final Path folder;
    private final String name;
    private long generation;

    /**
     * @param folder created with its parents at the first write
     * @param name prefix of the files {@code NAME.0}, {@code NAME.1} and {@code NAME.tmp}
     */
    public SnapshotFile(Path folder, String name) {
        this.folder = folder;
        this.name = name;
    }

    /** Reads both files and returns the newest intact state. */
    public ReadResult read() {
        Slot first = slot(0);
        Slot second = slot(1);
        Slot newer = first.generation() >= second.generation() ? first : second;
        Slot older = newer == first ? second : first;
        if (!newer.intact()) {
            return first.absent() && second.absent() ? new Missing()
                : new Corrupt(String.join("; ", damage(first, 0), damage(second, 1)));
        }
        generation = newer.generation();
        // A crash during the first write can leave a single file; after that both exist, so a missing one means damage.
        if (older.intact() || generation == 1 && older.absent()) {
            return new Intact(newer.bytes());
        }
        // The next write replaces the damaged file, which may have been the newer one.
        return new Fallback(newer.bytes(), damage(older, newer == first ? 1 : 0));
    }

    private String damage(Slot slot, int index) {
        return slot.damage() != null ? slot.damage() : file(index) + ": file missing";
    }

    private Slot slot(int index) {
        Path file = file(index);
        try {
            if (!Files.exists(file)) {
                return new Slot(-1, null, null);
            }
            long size = Files.size(file);
            if (!Files.isRegularFile(file) || size < HEADER_BYTES || size > HEADER_BYTES + MAX_BYTES) {
                return new Slot(-1, null, file + ": not a snapshot (" + size + " bytes)");
            }
            return decode(file, ByteBuffer.wrap(Files.readAllBytes(file)));
        } catch (IOException e) {
            return new Slot(-1, null, file + ": cannot be read: " + e.getMessage());
        }
    }

    private static Slot decode(Path file, ByteBuffer bytes) {
        byte[] magic = new byte[MAGIC.length];
        bytes.get(magic);
        if (!Arrays.equals(magic, MAGIC)) {
            return new Slot(-1, null, file + ": not a snapshot (wrong magic number)");
        }
        ByteBuffer checksummedHeader = bytes.slice(bytes.position(), CHECKSUMMED_HEADER);
        long generation = bytes.getLong();
        int length = bytes.getInt();
        int storedChecksum = bytes.getInt();
        if (length != bytes.remaining()) {
            return new Slot(-1, null, file + ": truncated or extended: " + bytes.remaining() + " bytes of content instead of " + length);
        }
        byte[] content = new byte[length];
        bytes.get(content);
        if (checksum(checksummedHeader, content) != storedChecksum || generation < 1) {
            return new Slot(-1, null, file + ": checksum mismatch");
        }
        return new Slot(generation, content, null);
    }

    /**
     * Writes a state. It is durable once this returns; if this throws, the previous state remains.
     *
     * @throws IOException for example if the disk is full
     */
    public void write(byte[] content) throws IOException {
        if (generation == 0) {
            // The first state goes to both files, so that a file that is missing later is detected.
            writeGeneration(content);
        }
        writeGeneration(content);
    }

    private void writeGeneration(byte[] content) throws IOException {
        if (content.length > MAX_BYTES) {
            throw new IOException("state too large: " + content.length + " bytes, maximum " + MAX_BYTES);
        }
        Files.createDirectories(folder);
        Path temporary = folder.resolve(name + ".tmp");
        long next = generation + 1;
        try {
            writeSynced(temporary, next, content);
            Files.move(temporary, file((int) (next & 1)), StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
        } catch (IOException e) {
            Files.deleteIfExists(temporary);
            throw e;
        }
        // The file is in place now, so a later write must go to the other one even if syncing the folder fails.
        generation = next;
        try (FileChannel directory = FileChannel.open(folder, StandardOpenOption.READ)) {
            directory.force(true);
        }
    }

    private static void writeSynced(Path file, long generation, byte[] content) throws IOException {
        ByteBuffer checksummedHeader = ByteBuffer.allocate(CHECKSUMMED_HEADER).putLong(generation).putInt(content.length).flip();
        ByteBuffer header = ByteBuffer.allocate(HEADER_BYTES).put(MAGIC).put(checksummedHeader.duplicate())
            .putInt(checksum(checksummedHeader.duplicate(), content)).flip();
        try (FileChannel channel = FileChannel.open(file, StandardOpenOption.CREATE, StandardOpenOption.WRITE,
                StandardOpenOption.TRUNCATE_EXISTING)) {
            writeAll(channel, header);
            writeAll(channel, ByteBuffer.wrap(content));
            channel.force(true);
        }
    }

    private static void writeAll(FileChannel channel, ByteBuffer bytes) throws IOException {
        while (bytes.hasRemaining()) {
            channel.write(bytes);
        }
    }

    private static int checksum(ByteBuffer checksummedHeader, byte[] content) {
        CRC32C crc = new CRC32C();
        crc.update(checksummedHeader);
        crc.update(content);
        return (int) crc.getValue();
    }

    private Path file(int index) {
        return folder.resolve(name + "." + index);
    }
}
