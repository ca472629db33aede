package onyxpaddle.sidecar;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** Broken files as edits of a sound one: `<` what is replaced, `>` by what, `!` each fault that must be told for it. */
record EditCase(String name, String before, String after, List<String> faults) {
    static String resource(String name) {
        try (var in = EditCase.class.getResourceAsStream(name)) {
            return new String(in.readAllBytes(), StandardCharsets.UTF_8);
        } catch (IOException e) {
            throw new java.io.UncheckedIOException(e);
        }
    }

    static List<EditCase> all(String resource) {
        List<EditCase> cases = new ArrayList<>();
        for (String block : resource(resource).split("\n(?=# )")) {
            List<String> old = new ArrayList<>();
            List<String> now = new ArrayList<>();
            List<String> faults = new ArrayList<>();
            for (String line : block.split("\n")) {
                if (line.startsWith("<")) {
                    old.add(line.substring(2));
                } else if (line.startsWith(">")) {
                    now.add(line.substring(2));
                } else if (line.startsWith("!")) {
                    faults.add(line.substring(2));
                }
            }
            cases.add(new EditCase(block.lines().findFirst().orElse("").substring(2), String.join("\n", old),
                String.join("\n", now), faults));
        }
        return cases;
    }

    /** The sound text with the edit, which must be possible at one place alone or at the first of several. */
    String applied(String sound) {
        int at = sound.indexOf(before);
        if (at < 0) {
            throw new IllegalArgumentException(name + ": nothing to replace: " + before);
        }
        return sound.substring(0, at) + after + sound.substring(at + before.length());
    }

    @Override
    public String toString() {
        return name;
    }
}
