package onyxpaddle.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;
import onyxpaddle.config.Fault;
import onyxpaddle.config.MachineLimits;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** Each invalid file gives exactly the expected faults, at the expected positions. */
class InvalidFilesTest {
    static final MachineLimits MACHINE = new MachineLimits(4096, 1L << 30);
    @TempDir
    Path folder;

    static Stream<EditCase> descriptions() {
        return EditCase.all("broken-descriptions.txt").stream();
    }

    static Stream<EditCase> configurations() {
        return EditCase.all("broken-configurations.txt").stream();
    }

    private List<String> faults(String... texts) throws IOException {
        List<Path> files = new java.util.ArrayList<>();
        for (int i = 0; i < texts.length; i++) {
            files.add(Files.writeString(folder.resolve("f" + i + ".yaml"), texts[i]));
        }
        return faults(files);
    }

    private List<String> faults(List<Path> files) {
        return CheckedFiles.of(files, MACHINE).faults.list().stream().map(Fault::toString)
            .map(text -> text.replace(folder + "/", "").replaceFirst("^f0\\.yaml:? ?", "")).toList();
    }

    @ParameterizedTest
    @MethodSource("descriptions")
    void invalidDescription(EditCase edit) throws IOException {
        assertEquals(edit.faults(), faults(edit.apply(EditCase.resource("description.yaml"))));
    }

    @ParameterizedTest
    @MethodSource("configurations")
    void invalidConfiguration(EditCase edit) throws IOException {
        assertEquals(edit.faults(), faults(edit.apply(EditCase.resource("configuration.yaml"))));
    }

    @Test
    void minimumNumberOfCasesAndUneditedFilesHaveNoFaults() throws IOException {
        assertTrue(descriptions().count() >= 60 && configurations().count() >= 20);
        assertTrue(Stream.concat(descriptions(), configurations()).noneMatch(c -> c.faults().isEmpty()));
        assertEquals(List.of(), faults(EditCase.resource("description.yaml")));
        assertEquals(List.of(), faults(EditCase.resource("configuration.yaml")));
    }

    @Test
    void reportsAllFaultsInOneRun() throws IOException {
        String text = EditCase.resource("description.yaml").replace("effect: safe\n", "effect: save\n")
            .replace("port: 9101", "port: 8081").replace("tenant", "tennant").replace("memory: 64 MiB", "memory: 64");
        assertEquals(List.of("2", "9", "20", "28"), faults(text).stream().map(f -> f.substring(0, f.indexOf(':'))).toList());
    }

    @Test
    void checksApplicationsOfOneMachineAgainstEachOther() throws IOException {
        String one = EditCase.resource("description.yaml");
        String two = one.replace("application: booking", "application: billing").replace("port: 8081", "port: 8082")
            .replace("inbound: 127.0.0.1:8080", "inbound: 0.0.0.0:9101").replace("port: 9101", "port: 9201")
            .replaceFirst("(?s)    servers:.*?weight: 2}\n", "").replace("  records:", "  bookin:");
        assertEquals(List.of("f1.yaml:4:10: inbound: port 9101 is also used by the call `records` of `booking`"
                + " (127.0.0.1:9101, f0.yaml:20:11); a unique port for each",
            "f1.yaml:20:5: calls.bookin: no application named `bookin`; did you mean `booking`? `servers`, `file` or `discovery`,"
                + " or the description of that application among the files"), faults(one, two));
        String same = two.replace("application: billing", "application: booking").replace("0.0.0.0:9101", "0.0.0.0:9301")
            .replace("bookin:", "booking:");
        assertEquals(List.of("f1.yaml:1:14: application: `booking` is also described in f0.yaml; a unique name for each"
                + " application",
            "f1.yaml:20:5: calls.booking: the application calls itself through its own node; call its own port 8082"),
            faults(one, same));
        assertEquals(List.of(), faults(one, same.replace("application: booking", "application: billing")));
        String config = EditCase.resource("configuration.yaml");
        assertEquals(2, faults(config, config).size());
    }

    @Test
    void unreadableFilesAreFaults() throws IOException {
        Path latin = Files.write(folder.resolve("latin.yaml"), "application: caf\u00e9\n".getBytes(StandardCharsets.ISO_8859_1));
        Path big = Files.write(folder.resolve("big.yaml"), new byte[10 << 20]);
        Path loop = folder.resolve("loop.yaml");
        Files.createSymbolicLink(loop, folder.resolve("other.yaml"));
        Files.createSymbolicLink(folder.resolve("other.yaml"), loop);
        Path empty = Files.writeString(folder.resolve("empty.yaml"), "");
        Path inside = Files.createDirectory(folder.resolve("none"));
        assertEquals(List.of(
            "big.yaml: is larger than 1 MiB; a description has some KB; is it the right file?",
            "empty.yaml: the file is empty; see `lupinmount sidecar schema` for its keys",
            "gone.yaml: there is no such file; check the name",
            "latin.yaml:1:17: not UTF-8; save the file as UTF-8",
            "loop.yaml: its symbolic links form a loop; point the link at a file",
            "none: the folder has 0 configuration files; from 1 to 1000 that end in .yaml, .yml or .json"),
            faults(List.of(latin, big, loop, empty, inside, folder.resolve("gone.yaml"))));
    }

    @Test
    void deeplyNestedOrMalformedTextIsAFault() throws IOException {
        assertFalse(faults("[".repeat(100_000)).isEmpty());
        assertFalse(faults("a: ".repeat(1000)).isEmpty());
        assertFalse(faults("{".repeat(5000) + "}".repeat(5000)).isEmpty());
        assertFalse(faults("a: &a [x,x]\nb: &b [*a,*a]\nc: &c [*b,*b]\n").isEmpty());
    }

    @Test
    void commandReportsFaultsOnStandardErrorOrAsJson() throws IOException {
        Path file = Files.writeString(folder.resolve("d.yaml"), "application: a\nport: x\ninbound: 127.0.0.1:1\ndefault: {}\n");
        StringWriter out = new StringWriter();
        StringWriter err = new StringWriter();
        assertEquals(78, SidecarCommand.run(new String[] {"check", file.toString()}, new PrintWriter(out),
            new PrintWriter(err), MACHINE));
        assertEquals(file + ":2:7: port: is not a valid port: `x`; a port from 1 to 65535\n" + file + ":4:10: default: `deadline` is"
            + " missing; `deadline:` a time with its unit, such as `300 ms` or `2 s` from 1 ms to 1 h\n2 faults\n",
            err.toString());
        assertEquals("", out.toString());
        assertEquals(78, SidecarCommand.run(new String[] {"check", "--json", file.toString()}, new PrintWriter(out),
            new PrintWriter(err), MACHINE));
        assertTrue(out.toString().contains("\"line\" : 4"), out.toString());
        assertEquals(64, SidecarCommand.run(new String[] {"chekc"}, new PrintWriter(out), new PrintWriter(err), MACHINE));
    }
}
