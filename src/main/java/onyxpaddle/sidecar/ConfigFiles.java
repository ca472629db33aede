package onyxpaddle.sidecar;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;

/**
 * Generated configurations on disk. Each file holds a checksum of its text, which tells a file that was edited by hand
 * from one that is only out of date.
 */
final class ConfigFiles {
    private static final String CHECKSUM = "# checksum: ";

    /** The state of the file that a configuration is to be written to. */
    enum FileState { ABSENT, SAME, OUTDATED, CHANGED_BY_HAND }

    private ConfigFiles() {
    }

    static Path path(Path folder, String name) {
        return folder.resolve(name + ".node.yaml");
    }

    /** Prepends the header lines: the source of the configuration and its checksum. */
    static String withHeader(String text, String from) {
        return "# Written by `lupinmount sidecar write` from " + from + ": change that file, not this one.\n"
            + CHECKSUM + checksum(text) + "\n" + text;
    }

    private static String checksum(String text) {
        try {
            return HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256")
                .digest(text.getBytes(StandardCharsets.UTF_8)));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every JDK has SHA-256", e);
        }
    }

    static FileState state(Path path, String content) throws IOException {
        if (!Files.exists(path)) {
            return FileState.ABSENT;
        }
        String before = Files.readString(path);
        if (before.equals(content)) {
            return FileState.SAME;
        }
        String[] parts = before.split("\n", 3);
        boolean unedited = parts.length == 3 && parts[1].startsWith(CHECKSUM)
            && parts[1].substring(CHECKSUM.length()).equals(checksum(parts[2]));
        return unedited ? FileState.OUTDATED : FileState.CHANGED_BY_HAND;
    }

    /** Replaces the file atomically, so that no reader sees a partial file. */
    static void write(Path path, String content) throws IOException {
        Path temporary = path.resolveSibling("." + path.getFileName() + ".tmp");
        Files.writeString(temporary, content);
        Files.move(temporary, path, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
    }

    /** The line differences, marked `+` and `-` as diff does, from a longest common subsequence. */
    static List<String> diff(String before, String after) {
        String[] a = before.isEmpty() ? new String[0] : before.split("\n", -1);
        String[] b = after.split("\n", -1);
        int[][] common = new int[a.length + 1][b.length + 1];
        for (int i = a.length - 1; i >= 0; i--) {
            for (int j = b.length - 1; j >= 0; j--) {
                common[i][j] = a[i].equals(b[j]) ? common[i + 1][j + 1] + 1
                    : Math.max(common[i + 1][j], common[i][j + 1]);
            }
        }
        List<String> lines = new ArrayList<>();
        int i = 0;
        int j = 0;
        while (i < a.length || j < b.length) {
            if (i < a.length && j < b.length && a[i].equals(b[j])) {
                i++;
                j++;
            } else if (j < b.length && (i == a.length || common[i][j + 1] >= common[i + 1][j])) {
                lines.add("+" + b[j++]);
            } else {
                lines.add("-" + a[i++]);
            }
        }
        return lines;
    }
}
