package onyxpaddle.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;
import onyxpaddle.config.NodeConfig;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** For each valid description the configuration is generated, checked and started, and serves requests on loopback. */
class ValidFilesTest {
    @TempDir
    Path folder;
    private final StringWriter out = new StringWriter();
    private final StringWriter err = new StringWriter();

    static Stream<EditCase> validDescriptions() {
        return EditCase.all("good-descriptions.txt").stream();
    }

    private int run(String... args) {
        return SidecarCommand.run(args, new PrintWriter(out), new PrintWriter(err), InvalidFilesTest.MACHINE);
    }

    private Path description(EditCase edit) throws IOException {
        return Files.writeString(folder.resolve("d.yaml"), edit.apply(EditCase.resource("description.yaml")));
    }

    @ParameterizedTest
    @MethodSource("validDescriptions")
    void generatedConfigurationPassesTheCheckAndServes(EditCase edit) throws Exception {
        Path file = description(edit);
        Path nodes = folder.resolve("nodes");
        assertEquals(0, run("write", file.toString(), "--out", nodes.toString()), err::toString);
        assertEquals(0, run("check", nodes.toString()), err::toString);
        CheckedFiles checked = CheckedFiles.of(List.of(file), InvalidFilesTest.MACHINE);
        try (LoopbackTrial trial = new LoopbackTrial(checked.descriptions.get(0))) {
            List<LoopbackTrial.TrialRequest> requests = trial.sendRequests();
            assertTrue(requests.size() >= 4 && LoopbackTrial.allAsExpected(requests), requests::toString);
        }
    }

    @Test
    void minimumNumberOfCases() {
        assertTrue(validDescriptions().count() >= 12);
    }

    @Test
    void examplesPassTheCheckAndServe() throws Exception {
        Path examples = Path.of("deploy/examples");
        assertEquals(0, run("check", examples.toString()), err::toString);
        assertEquals(0, run("try", examples.resolve("booking.yaml").toString(), "--once"), () -> out + "" + err);
        assertTrue(out.toString().contains("all requests answered as expected"), out::toString);
        out.getBuffer().setLength(0);
        assertEquals(0, run("try", examples.resolve("records.yaml").toString(), "--once"), () -> out + "" + err);
        assertTrue(out.toString().contains("patient.trial") && out.toString().contains("all requests answered as expected"), out::toString);
    }

    @Test
    void explainsACall() throws Exception {
        Path nodes = folder.resolve("nodes");
        assertEquals(0, run("write", "deploy/examples/records.yaml", "--out", nodes.toString()), err::toString);
        Path file = nodes.resolve("partner-records.node.yaml");
        NodeConfig config = CheckedFiles.of(List.of(file), InvalidFilesTest.MACHINE).configs.get(file);
        Map<String, String> lines = Explanation.of(config, "CALL", URI.create("rpc://h:7300/patient.read"), Map.of());
        assertEquals("in--look-up (patient.*)", lines.get("procedure"));
        assertEquals("1 s, or `expires` of its envelope if that is sooner", lines.get("deadline"));
        assertEquals("matches too, but patient.* is longer", lines.get("not in--other"));
        assertEquals("matches only visit.book", lines.get("not in--enter"));
        assertEquals("the error no-method at once: no procedure matches `patient.read`",
            Explanation.of(config, "CALL", URI.create("rpc://h:9202/patient.read"), Map.of()).get("answer"));
        assertTrue(Explanation.of(config, "GET", URI.create("http://h:7300/x"), Map.of()).get("answer").startsWith("none"));
    }

    /** Guards against an explanation that says "keyed" of a call that counts as unsafe, as its servers are not told its key. */
    @Test
    void explainsThatACallWithoutAnEnvelopeToItsServersIsUnsafe() throws Exception {
        Path file = folder.resolve("records.yaml");
        String described = Files.readString(Path.of("deploy/examples/records.yaml"));
        assertEquals("keyed, unsafe without a key in its envelope", effectOfABooking(Files.writeString(file, described)));
        assertEquals("keyed, unsafe without a key in its envelope, unsafe while a server may get it by MessagePack-RPC, which tells it no key"
            + " (`rpc.envelope: false`)", effectOfABooking(Files.writeString(file, described.replace("  rpc: {envelope: true} ", "  "))));
    }

    private String effectOfABooking(Path description) throws Exception {
        Path nodes = Files.createTempDirectory(folder, "nodes");
        assertEquals(0, run("write", description.toString(), "--out", nodes.toString()), err::toString);
        Path file = nodes.resolve("partner-records.node.yaml");
        NodeConfig config = CheckedFiles.of(List.of(file), InvalidFilesTest.MACHINE).configs.get(file);
        return Explanation.of(config, "CALL", URI.create("rpc://h:7300/visit.book"), Map.of()).get("effect");
    }

    @Test
    void writeIsDeterministicAndKeepsFilesEditedByHand() throws Exception {
        Path file = description(validDescriptions().findFirst().orElseThrow());
        Path node = folder.resolve("nodes/booking.node.yaml");
        String[] write = {"write", file.toString(), "--out", folder.resolve("nodes").toString()};
        assertEquals(0, run(write));
        String first = Files.readString(node);
        assertEquals(0, run(write));
        assertTrue(out.toString().endsWith("up to date\n"), out::toString);
        assertEquals(first, Files.readString(node));

        Files.writeString(file, Files.readString(file).replace("worth: 3", "worth: 4"));
        assertEquals(0, run("write", file.toString(), "--out", folder.resolve("nodes").toString(), "--diff"));
        assertEquals(first, Files.readString(node));
        assertTrue(out.toString().contains("\n-    worth: 3\n") && out.toString().contains("\n+    worth: 4\n"));
        assertEquals(0, run(write));
        assertTrue(Files.readString(node).contains("worth: 4"));

        String changed = Files.readString(node).replace("attempts: 3", "attempts: 2");
        Files.writeString(node, changed);
        assertEquals(78, run(write));
        assertEquals(changed, Files.readString(node));
        assertTrue(out.toString().contains("edited by hand since it was generated: not overwritten"), out::toString);
        assertEquals(0, run("write", file.toString(), "--out", folder.resolve("nodes").toString(), "--force"));
        assertTrue(Files.readString(node).contains("attempts: 3"));
    }

    @Test
    void explainsTheRouteAndWhyOthersDoNotApply() throws Exception {
        Path file = Files.writeString(folder.resolve("c.yaml"), EditCase.resource("configuration.yaml"));
        NodeConfig config = CheckedFiles.of(List.of(file), InvalidFilesTest.MACHINE).configs.get(file);
        Map<String, String> lines = Explanation.of(config, "GET", URI.create("http://h:8080/slots/4?x=1"), Map.of());
        assertEquals("look (path /slots, method GET)", lines.get("route"));
        assertEquals("/slots/4?x=1", lines.get("goes on as"));
        assertEquals("1500 ms", lines.get("deadline"));
        assertEquals("path is not /visits or below", lines.get("not book"));
        assertEquals("404 at once: no route matches",
            Explanation.of(config, "POST", URI.create("http://h:8080/slots"), Map.of()).get("answer"));
        assertEquals("out (path /)",
            Explanation.of(config, "POST", URI.create("http://h:9101/slots"), Map.of()).get("route"));
        assertEquals(0, run("explain", file.toString(), "POST", "http://clinic/visits", "X-Beta: 1"), err::toString);
        assertTrue(out.toString().contains("attempts: at most 3, a further one only if no earlier one was executed\n"));
    }

    @Test
    void printsSchemasWithTheirKeys() {
        assertEquals(0, run("schema"));
        assertEquals(0, run("schema", "configuration"));
        assertEquals(0, run("schema", "list"));
        assertTrue(out.toString().contains("\"late-worth\"") && out.toString().contains("\"connect-timeout\""));
        assertEquals(64, run("schema", "colour"));
    }
}
