package onyxpaddle.config;

import java.io.IOException;
import java.io.InputStream;
import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.CodingErrorAction;
import java.nio.charset.StandardCharsets;
import java.nio.file.AccessDeniedException;
import java.nio.file.FileSystemException;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;

/** Reads a text file of at most 1 MiB of UTF-8. Read errors are reported as faults, never as exceptions. */
public final class SourceFile {
    /** Far above the usual size of descriptions and configurations, which is some KB. */
    public static final int MAX_BYTES = 1 << 20;

    private SourceFile() {
    }

    /** Parses a file; returns null and adds a fault if it cannot be read or parsed. */
    public static Value read(Path file, Faults faults) {
        String name = file.toString();
        String text = text(file, faults);
        return text == null ? null : YamlTree.parse(name, text, faults);
    }

    /** Parses a text that was read elsewhere; {@code name} is the file name in its places. */
    public static Value parse(String name, String text, Faults faults) {
        return YamlTree.parse(name, text, faults);
    }

    /** Reads the text of a file; returns null and adds a fault if it cannot be read. */
    public static String text(Path file, Faults faults) {
        Place place = Place.of(file.toString());
        byte[] bytes;
        try {
            if (Files.isDirectory(file)) {
                faults.add(place, "", "is a directory", "name a file");
                return null;
            }
            if (Files.exists(file) && !Files.isRegularFile(file)) {
                // Reading a pipe or a device could block forever.
                faults.add(place, "", "is not a regular file", "name a text file");
                return null;
            }
            try (InputStream in = Files.newInputStream(file)) {
                bytes = in.readNBytes(MAX_BYTES + 1);
            }
        } catch (NoSuchFileException e) {
            faults.add(place, "", "there is no such file", "check the name");
            return null;
        } catch (AccessDeniedException e) {
            faults.add(place, "", "permission denied", "give this user the right to read it");
            return null;
        } catch (FileSystemException e) {
            String reason = e.getReason() == null ? e.getClass().getSimpleName() : e.getReason();
            boolean loop = reason.contains("symbolic links");
            faults.add(place, "", loop ? "its symbolic links form a loop" : "cannot be read: " + reason,
                loop ? "point the link at a file" : "check the file and its directory");
            return null;
        } catch (IOException e) {
            faults.add(place, "", "cannot be read: " + e.getMessage(), "check the file and its directory");
            return null;
        }
        if (bytes.length > MAX_BYTES) {
            faults.add(place, "", "is larger than 1 MiB", "a description has some KB; is it the right file?");
            return null;
        }
        return decode(bytes, place, faults);
    }

    private static String decode(byte[] bytes, Place place, Faults faults) {
        ByteBuffer in = ByteBuffer.wrap(bytes);
        try {
            return StandardCharsets.UTF_8.newDecoder().onMalformedInput(CodingErrorAction.REPORT)
                .onUnmappableCharacter(CodingErrorAction.REPORT).decode(in).toString();
        } catch (CharacterCodingException e) {
            int line = 1;
            int column = 1;
            for (int i = 0; i < in.position(); i++) {
                column = bytes[i] == '\n' ? 1 : column + 1;
                line += bytes[i] == '\n' ? 1 : 0;
            }
            faults.add(new Place(place.file(), line, column), "", "not UTF-8", "save the file as UTF-8");
            return null;
        }
    }
}
