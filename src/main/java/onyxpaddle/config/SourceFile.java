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

/** Reads a file of ours: at most 1 MiB of UTF-8. Whatever keeps it from being read is a fault, never an exception. */
public final class SourceFile {
    /** Descriptions and configurations have some KB. */
    public static final int MAX_BYTES = 1 << 20;

    private SourceFile() {
    }

    /** The tree of a file, or null with the reason among the faults. */
    public static Value read(Path file, Faults faults) {
        String name = file.toString();
        String text = text(file, faults);
        return text == null ? null : YamlTree.parse(name, text, faults);
    }

    /** The tree of a text that was read elsewhere; {@code name} is what its places call it. */
    public static Value parse(String name, String text, Faults faults) {
        return YamlTree.parse(name, text, faults);
    }

    /** The text of a file, or null with the reason among the faults. */
    public static String text(Path file, Faults faults) {
        Place place = Place.of(file.toString());
        byte[] bytes;
        try {
            if (Files.isDirectory(file)) {
                faults.add(place, "", "is a directory", "name a file");
                return null;
            }
            if (Files.exists(file) && !Files.isRegularFile(file)) {
                // A pipe or a device would keep the reader waiting for ever.
                faults.add(place, "", "is no ordinary file", "name a file with text in it");
                return null;
            }
            try (InputStream in = Files.newInputStream(file)) {
                bytes = in.readNBytes(MAX_BYTES + 1);
            }
        } catch (NoSuchFileException e) {
            faults.add(place, "", "there is no such file", "check the name");
            return null;
        } catch (AccessDeniedException e) {
            faults.add(place, "", "may not be read", "give the reader's user the right to read it");
            return null;
        } catch (FileSystemException e) {
            String reason = e.getReason() == null ? e.getClass().getSimpleName() : e.getReason();
            boolean loop = reason.contains("symbolic links");
            faults.add(place, "", loop ? "its symbolic links lead in a circle" : "cannot be read: " + reason,
                loop ? "let the link name a file" : "check the file and its folder");
            return null;
        } catch (IOException e) {
            faults.add(place, "", "cannot be read: " + e.getMessage(), "check the file and its folder");
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
