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

/** Files of figures that make no sense: each is refused with its place, and the page that is there stays. */
class MeasuredRunReaderTest {
    private static final String GOOD = CapacityPageTest.scale(100, "");

    @TempDir
    private Path folder;

    @Test
    void aGoodFileIsTaken() {
        Faults faults = new Faults();
        assertNotNull(MeasuredRunReader.read("run.json", GOOD, faults));
        assertTrue(faults.list().isEmpty());
    }

    @Test
    void whatIsNoJsonSaysWhere() {
        refused("run.json:2:", "is not JSON", "{\"measurement\":\"scale\",\n \"form\":1,,}");
        refused("run.json:1:", "is not JSON", "{\"measurement\":\"scale\"");
        refused("run.json:", "is empty", "");
        refused("run.json:1:3: ", "goes on after its end", "{}{}");
        refused("run.json:1:", "Duplicate field", "{\"a\":1,\"a\":2}");
        refused("run.json:1:", "nested more than 20 deep", "[".repeat(40));
    }

    @Test
    void whatIsMissingOrOfAnotherKindSaysItsPath() {
        refused("run.json:1:1: measurement: ", "is missing", "{}");
        refused("run.json:1:16: measurement: ", "is `other`",
            "{\"measurement\":\"other\",\"holds\":true,\"figures\":{}}");
        refused("run.json:2:", "figures.added: is no number",
            "{\"measurement\":\"added-time\",\"holds\":true,\"figures\":{\n\"added\":\"1\"}}");
        refused("run.json:2:", "settings.nodes: is no number",
            GOOD.replace("\"settings\":{\"nodes\":100", "\"settings\":{\n\"nodes\":1e999"));
        refused("run.json:", "slopes: is no list", GOOD.replace("\"slopes\":[]", "\"slopes\":{}"));
        refused("run.json:", "figures[0].role: is missing", GOOD.replace("\"figures\":[]", "\"figures\":[{}]"));
        refused("run.json:", "form: is of another version", GOOD.replace("\"form\":1", "\"form\":2"));
        refused("run.json:", "holds: is neither true nor false", GOOD.replace("\"holds\":true", "\"holds\":\"true\""));
    }

    @Test
    void aRunWithAFaultPutInIsNoSourceOfNeeds() {
        refused("run.json:", "fault: a fault was put in: `herd`", GOOD.replace("\"fault\":\"none\"", "\"fault\":\"herd\""));
    }

    @Test
    void aNumberThatIsNullIsNotThere() {
        Faults faults = new Faults();
        MeasuredRun run = MeasuredRunReader.read("run.json",
            "{\"measurement\":\"added-time\",\"holds\":true,\"figures\":{\"a\":null,\"b\":2}}", faults);
        assertEquals(java.util.Map.of("b", 2.0), run.plain());
    }

    @Test
    void theCommandWritesThePageOrLeavesTheOneThatIsThere() throws Exception {
        Path good = Files.writeString(folder.resolve("scale.json"), GOOD);
        Path broken = Files.writeString(folder.resolve("broken.json"), "{\n\"measurement\":3}");
        Path page = folder.resolve("CAPACITY.md");
        assertEquals(0, run("--figures", good.toString(), "--machine", "quiet", "--out", page.toString()).code());
        String before = Files.readString(page);
        assertTrue(before.startsWith("# Capacity\n") && before.contains("**Machine:** quiet"), before);

        Ran ran = run("--figures", good.toString(), "--figures", broken.toString(), "--out", page.toString());
        assertEquals(78, ran.code());
        assertTrue(ran.err().contains(broken + ":2:15: measurement: is no text"), ran.err());
        assertEquals(before, Files.readString(page));
        assertEquals(78, run("--figures", folder.resolve("none.json").toString()).code());
        assertEquals(64, run().code());
    }

    private record Ran(int code, String out, String err) {
    }

    private static Ran run(String... rest) {
        String[] args = new String[rest.length + 2];
        args[0] = "capacity";
        args[1] = "render";
        System.arraycopy(rest, 0, args, 2, rest.length);
        StringWriter out = new StringWriter();
        StringWriter err = new StringWriter();
        int code = Lupinmount.run(args, new PrintWriter(out, true), new PrintWriter(err, true));
        return new Ran(code, out.toString(), err.toString());
    }

    private static void refused(String place, String wrong, String text) {
        Faults faults = new Faults();
        assertNull(MeasuredRunReader.read("run.json", text, faults));
        assertTrue(faults.list().stream().map(Object::toString).anyMatch(f -> f.startsWith(place) && f.contains(wrong)),
            () -> "wanted " + place + " … " + wrong + ", got " + faults.list());
    }
}
