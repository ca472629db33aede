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
 * Written configurations on disk. Each bears a checksum of its text, by which a file that a person changed is told
 * from one that is only out of date.
 */
final class ConfigFiles {
    private static final String CHECKSUM = "# checksum: ";

    /** What is at a place where a configuration is to go. */
    enum FileState { ABSENT, SAME, OUTDATED, CHANGED_BY_HAND }

    private ConfigFiles() {
    }

    static Path path(Path folder, String name) {
        return folder.resolve(name + ".node.yaml");
    }

    /** A configuration with the lines that say where it comes from. */
    static String sealed(String text, String from) {
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

    static FileState standing(Path path, String sealed) throws IOException {
        if (!Files.exists(path)) {
            return FileState.ABSENT;
        }
        String before = Files.readString(path);
        if (before.equals(sealed)) {
            return FileState.SAME;
        }
        String[] parts = before.split("\n", 3);
        boolean ours = parts.length == 3 && parts[1].startsWith(CHECKSUM)
            && parts[1].substring(CHECKSUM.length()).equals(checksum(parts[2]));
        return ours ? FileState.OUTDATED : FileState.CHANGED_BY_HAND;
    }

    /** Puts it there in one step, so that nobody reads half of it. */
    static void write(Path path, String sealed) throws IOException {
        Path half = path.resolveSibling("." + path.getFileName() + ".tmp");
        Files.writeString(half, sealed);
        Files.move(half, path, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
    }

    /** What would change, line by line: a longest common subsequence, in the signs of diff. */
    static List<String> difference(String before, String after) {
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
