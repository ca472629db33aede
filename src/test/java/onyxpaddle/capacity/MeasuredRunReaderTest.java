package onyxpaddle.capacity;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.PrintWriter;
import java.io.StringWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import onyxpaddle.command.Lupinmount;
import onyxpaddle.config.Faults;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Invalid result files: each is refused with the position of the fault, and the existing page is kept. */
class MeasuredRunReaderTest {
    private static final String GOOD = CapacityPageTest.scale(100, "");

    @TempDir
    private Path folder;

    @Test
    void validFileIsAccepted() {
        Faults faults = new Faults();
        assertNotNull(MeasuredRunReader.read("run.json", GOOD, faults));
        assertTrue(faults.list().isEmpty());
    }

    @Test
    void invalidJsonIsReportedWithPosition() {
        assertRefused("run.json:2:", "is not JSON", "{\"measurement\":\"scale\",\n \"form\":1,,}");
        assertRefused("run.json:1:", "is not JSON", "{\"measurement\":\"scale\"");
        assertRefused("run.json:", "is empty", "");
        assertRefused("run.json:1:3: ", "has content after its end", "{}{}");
        assertRefused("run.json:1:", "Duplicate field", "{\"a\":1,\"a\":2}");
        assertRefused("run.json:1:", "nested more than 20 levels deep", "[".repeat(40));
    }

    @Test
    void missingOrMistypedFieldIsReportedWithPath() {
        assertRefused("run.json:1:1: measurement: ", "is missing", "{}");
        assertRefused("run.json:1:16: measurement: ", "is `other`",
            "{\"measurement\":\"other\",\"holds\":true,\"figures\":{}}");
        assertRefused("run.json:2:", "figures.added: is not a number",
            "{\"measurement\":\"added-time\",\"holds\":true,\"figures\":{\n\"added\":\"1\"}}");
        assertRefused("run.json:2:", "settings.nodes: is not a number",
            GOOD.replace("\"settings\":{\"nodes\":100", "\"settings\":{\n\"nodes\":1e999"));
        assertRefused("run.json:", "slopes: is not an array", GOOD.replace("\"slopes\":[]", "\"slopes\":{}"));
        assertRefused("run.json:", "figures[0].role: is missing", GOOD.replace("\"figures\":[]", "\"figures\":[{}]"));
        assertRefused("run.json:", "form: is not the format of this program version", GOOD.replace("\"form\":1", "\"form\":2"));
        assertRefused("run.json:", "holds: is neither true nor false", GOOD.replace("\"holds\":true", "\"holds\":\"true\""));
    }

    @Test
    void runWithInjectedFaultIsRefused() {
        assertRefused("run.json:", "fault: the run has an injected fault: `herd`",
            GOOD.replace("\"fault\":\"none\"", "\"fault\":\"herd\""));
    }

    @Test
    void nullNumberIsOmitted() {
        Faults faults = new Faults();
        MeasuredRun run = MeasuredRunReader.read("run.json",
            "{\"measurement\":\"added-time\",\"holds\":true,\"figures\":{\"a\":null,\"b\":2}}", faults);
        assertEquals(java.util.Map.of("b", 2.0), run.plain());
    }

    @Test
    void commandWritesPageOrKeepsExistingOne() throws Exception {
        Path good = Files.writeString(folder.resolve("scale.json"), GOOD);
        Path broken = Files.writeString(folder.resolve("broken.json"), "{\n\"measurement\":3}");
        Path page = folder.resolve("CAPACITY.md");
        assertEquals(0, run("--figures", good.toString(), "--machine", "quiet", "--out", page.toString()).code());
        String before = Files.readString(page);
        assertTrue(before.startsWith("# Capacity\n") && before.contains("**Machine:** quiet"), before);

        CommandResult ran = run("--figures", good.toString(), "--figures", broken.toString(), "--out", page.toString());
        assertEquals(78, ran.code());
        assertTrue(ran.err().contains(broken + ":2:15: measurement: is not a string"), ran.err());
        assertEquals(before, Files.readString(page));
        assertEquals(78, run("--figures", folder.resolve("none.json").toString()).code());
        assertEquals(64, run().code());
    }

    private record CommandResult(int code, String out, String err) {
    }

    private static CommandResult run(String... options) {
        String[] args = new String[options.length + 2];
        args[0] = "capacity";
        args[1] = "render";
        System.arraycopy(options, 0, args, 2, options.length);
        StringWriter out = new StringWriter();
        StringWriter err = new StringWriter();
        int code = Lupinmount.run(args, new PrintWriter(out, true), new PrintWriter(err, true));
        return new CommandResult(code, out.toString(), err.toString());
    }

    private static void assertRefused(String position, String message, String text) {
        Faults faults = new Faults();
        assertNull(MeasuredRunReader.read("run.json", text, faults));
        assertTrue(faults.list().stream().map(Object::toString).anyMatch(f -> f.startsWith(position) && f.contains(message)),
            () -> "expected " + position + " ... " + message + ", got " + faults.list());
    }
}
