package onyxpaddle.wire;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;

/** Starts the jar by the command that the deploy file names. */
class PackagedJarIT {
    private static Process start() throws IOException {
        String command = Files.readAllLines(Path.of("deploy/balancer.toml")).stream()
            .filter(line -> line.startsWith("sim = ")).findFirst().orElseThrow()
            .replaceFirst("^sim = \"", "").replaceFirst("\"$", "");
        return new ProcessBuilder("/bin/sh", "-c", command).start();
    }

    private static void write(Process process, String text) throws IOException {
        try (var in = process.getOutputStream()) {
            in.write(text.getBytes(StandardCharsets.UTF_8));
        }
    }

    @Test
    void answersBatchesAndExitsWhenInputEnds() throws Exception {
        Process process = start();
        write(process, "BATCH 1 1\nCOMMIT\nBATCH 2 2\nCOMMIT\n");
        String reply = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        assertEquals("YIELD 1\nYIELD 2\n", reply);
        assertEquals(0, process.waitFor());
    }

    @Test
    void malformedLineEndsWithOneMessageAndStatusTwo() throws Exception {
        Process process = start();
        write(process, "BATCH 1 1\nWHAT\n");
        assertEquals("", new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8));
        String message = new String(process.getErrorStream().readAllBytes(), StandardCharsets.UTF_8);
        assertEquals(2, process.waitFor());
        assertTrue(message.startsWith("line 2: ") && message.lines().count() == 1, message);
    }
}
