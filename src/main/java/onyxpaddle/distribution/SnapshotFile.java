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
 * A state on disk in two files, of which the older is replaced at each write: by a temporary file that is written and synced
 * first, then renamed over it, then the folder is synced. A crash at any moment leaves the newest state that a write has
 * returned for. Each file has a checksum; what is damaged later is found at the next read, which says so.
 *
 * <p>File: magic (8 bytes), generation (8), length (4), CRC-32C of generation, length and content (4), content; big-endian.
 * One thread at a time, not an event loop: it waits for the disk.
 */
public final class SnapshotFile {
    /** The most bytes of a state: four of the largest updates. */
    public static final int MAX_BYTES = 4 * UpdateJson.MAX_BYTES;

    private static final byte[] MAGIC = "lupsnap1".getBytes(StandardCharsets.US_ASCII);
    private static final int CHECKED = Long.BYTES + Integer.BYTES;
    private static final int HEADER = MAGIC.length + CHECKED + Integer.BYTES;

    /** What a read found. */
    public sealed interface ReadResult permits Intact, Fallback, Corrupt, Missing {
    }

    /** The newest state that was written. */
    public record Intact(byte[] bytes) implements ReadResult {
    }

    /** A sound state, beside a damaged file that may have held a newer one. */
    public record Fallback(byte[] bytes, String damage) implements ReadResult {
    }

    /** There was a state; none can be read. */
    public record Corrupt(String damage) implements ReadResult {
    }

    /** No state was ever written here. */
    public record Missing() implements ReadResult {
    }

    /** One of the two files as read: sound with its generation, or not with the reason; absent: neither. */
    private record Slot(long generation, byte[] bytes, String damage) {
        boolean sound() {
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
     * @param folder created at the first write, with those above it
     * @param name of the files: {@code NAME.0}, {@code NAME.1} and {@code NAME.tmp}
     */
    public SnapshotFile(Path folder, String name) {
        this.folder = folder;
        this.name = name;
    }

    /** The newest sound state. Reads both files. */
    public ReadResult read() {
        Slot first = slot(0);
        Slot second = slot(1);
        Slot newer = first.generation() >= second.generation() ? first : second;
        Slot older = newer == first ? second : first;
        if (!newer.sound()) {
            return first.absent() && second.absent() ? new Missing()
                : new Corrupt(String.join("; ", damage(first, 0), damage(second, 1)));
        }
        generation = newer.generation();
        // A first write that a crash broke off leaves one file; else there are two, and only damage takes one away.
        if (older.sound() || generation == 1 && older.absent()) {
            return new Intact(newer.bytes());
        }
        // The next write replaces the damaged file, which may have been the newer one.
        return new Fallback(newer.bytes(), damage(older, newer == first ? 1 : 0));
    }

    private String damage(Slot slot, int index) {
        return slot.damage() != null ? slot.damage() : file(index) + ": is missing";
    }

    private Slot slot(int index) {
        Path file = file(index);
        try {
            if (!Files.exists(file)) {
                return new Slot(-1, null, null);
            }
            long size = Files.size(file);
            if (!Files.isRegularFile(file) || size < HEADER || size > HEADER + MAX_BYTES) {
                return new Slot(-1, null, file + ": of " + size + " bytes is no snapshot");
            }
            return decoded(file, ByteBuffer.wrap(Files.readAllBytes(file)));
        } catch (IOException e) {
            return new Slot(-1, null, file + ": cannot be read: " + e.getMessage());
        }
    }

    private static Slot decoded(Path file, ByteBuffer bytes) {
        byte[] magic = new byte[MAGIC.length];
        bytes.get(magic);
        if (!Arrays.equals(magic, MAGIC)) {
            return new Slot(-1, null, file + ": does not begin as a snapshot does");
        }
        ByteBuffer checked = bytes.slice(bytes.position(), CHECKED);
        long generation = bytes.getLong();
        int length = bytes.getInt();
        int told = bytes.getInt();
        if (length != bytes.remaining()) {
            return new Slot(-1, null, file + ": holds " + bytes.remaining() + " bytes of " + length);
        }
        byte[] content = new byte[length];
        bytes.get(content);
        if (checksum(checked, content) != told || generation < 1) {
            return new Slot(-1, null, file + ": its checksum is wrong");
        }
        return new Slot(generation, content, null);
    }

    /**
     * Writes a state. Once it returns the state is durable; when it throws, the state before is.
     *
     * @throws IOException such as for a full disk
     */
    public void write(byte[] content) throws IOException {
        if (generation == 0) {
            // Both files from the first state on: so one that is missing later is found out.
            writeNext(content);
        }
        writeNext(content);
    }

    private void writeNext(byte[] content) throws IOException {
        if (content.length > MAX_BYTES) {
            throw new IOException("a state of " + content.length + " bytes; at most " + MAX_BYTES + " are kept");
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
        // From here on the file stands under its name: a later write goes to the other one, also if the folder's sync fails.
        generation = next;
        try (FileChannel directory = FileChannel.open(folder, StandardOpenOption.READ)) {
            directory.force(true);
        }
    }

    private static void writeSynced(Path file, long generation, byte[] content) throws IOException {
        ByteBuffer checked = ByteBuffer.allocate(CHECKED).putLong(generation).putInt(content.length).flip();
        ByteBuffer header = ByteBuffer.allocate(HEADER).put(MAGIC).put(checked.duplicate())
            .putInt(checksum(checked.duplicate(), content)).flip();
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

    private static int checksum(ByteBuffer checked, byte[] content) {
        CRC32C crc = new CRC32C();
        crc.update(checked);
        crc.update(content);
        return (int) crc.getValue();
    }

    private Path file(int index) {
        return folder.resolve(name + "." + index);
    }
}
