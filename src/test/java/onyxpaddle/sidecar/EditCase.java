package onyxpaddle.sidecar;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** An edit of a valid file, read from a resource: `<` lines are replaced by `>` lines, and `!` lines are the expected faults. */
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
            List<String> before = new ArrayList<>();
            List<String> after = new ArrayList<>();
            List<String> faults = new ArrayList<>();
            for (String line : block.split("\n")) {
                if (line.startsWith("<")) {
                    before.add(line.substring(2));
                } else if (line.startsWith(">")) {
                    after.add(line.substring(2));
                } else if (line.startsWith("!")) {
                    faults.add(line.substring(2));
                }
            }
            cases.add(new EditCase(block.lines().findFirst().orElse("").substring(2), String.join("\n", before),
                String.join("\n", after), faults));
        }
        return cases;
    }

    /** Applies the edit to the first occurrence of the replaced lines. */
    String apply(String text) {
        int at = text.indexOf(before);
        if (at < 0) {
            throw new IllegalArgumentException(name + ": text to replace not found: " + before);
        }
        return text.substring(0, at) + after + text.substring(at + before.length());
    }

    @Override
    public String toString() {
        return name;
    }
}
