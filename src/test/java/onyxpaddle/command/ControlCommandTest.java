package onyxpaddle.command;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.PrintWriter;
import java.io.StringWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import onyxpaddle.config.HostPort;
import onyxpaddle.control.ControlClient;
import onyxpaddle.control.ControlProcess;
import onyxpaddle.control.ControlSettings;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class ControlCommandTest {
    private static final Duration TIMEOUT = Duration.ofSeconds(30);

    @TempDir
    private Path directory;
    private ControlProcess publisher;
    private String at;
    private String out;
    private String err;

    @BeforeEach
    void start() throws Exception {
        publisher = ControlProcess.start(new ControlSettings(new HostPort("127.0.0.1", 0), "p", directory.resolve("p"), 1, List.of(),
            List.of(), ControlSettings.DEFAULT_FULL_UPDATE_RATE));
        at = "127.0.0.1:" + publisher.address().getPort();
    }

    @AfterEach
    void stop() {
        publisher.close();
    }

    private int run(String... args) {
        StringWriter outText = new StringWriter();
        StringWriter errText = new StringWriter();
        int code = Lupinmount.run(args, new PrintWriter(outText), new PrintWriter(errText));
        out = outText.toString();
        err = errText.toString();
        return code;
    }

    private String file(String name, String text) throws Exception {
        return Files.writeString(directory.resolve(name), text).toString();
    }

    private void reportAsNode(String name, String report) throws Exception {
        new ControlClient().get(HostPort.parse(at), "/v1/configuration?node=" + name + "&service=booking&epoch=1&after=1"
            + report, TIMEOUT, 1 << 20);
    }

    @Test
    void filesArePublishedAndRemovedAsOneVersion() throws Exception {
        String one = file("one.yaml", "effect: safe\ndeadline: 1 s\n");
        assertEquals(0, run("control", "publish", "--publisher", at, "--acks", "0", "service/booking/classes.a=" + one,
            "fleet/classes.b=" + one), err);
        assertEquals("1.1", out.strip());
        assertEquals(0, run("control", "publish", "--publisher", at, "--acks", "0", "--base", "1.1", "--remove", "fleet/classes.b"), err);
        assertEquals("1.2", out.strip());
        assertEquals(1, run("control", "publish", "--publisher", at, "--acks", "0", "--base", "1.1", "fleet/classes.b=" + one));
        assertTrue(err.contains("fleet/classes.b changed at 1.2, after the base 1.1"), err);
        assertEquals(1, run("control", "publish", "--publisher", at, "--wait", "1 ms", "fleet/classes.b=" + one));
        assertTrue(err.contains("only 0 of 1 replicas"), err);
    }

    @Test
    void faultsNameTheFile() throws Exception {
        String bad = file("bad.yaml", "effect: safe\ndeadline: long\n");
        assertEquals(78, run("control", "publish", "--publisher", at, "service/booking/classes.a=" + bad));
        assertTrue(err.startsWith(bad + ":2:11: deadline: "), err);
        assertEquals(78, run("control", "publish", "--publisher", at, "service/booking/classes.a=" + directory.resolve("missing.yaml")));
        assertTrue(err.contains("there is no such file"), err);
    }

    @Test
    void wrongUsageIsReported() {
        assertEquals(64, run("control"));
        assertEquals(64, run("control", "publish", "--publisher", at));
        assertEquals(64, run("control", "publish", "--publisher", at, "routes=x"));
        assertEquals(64, run("control", "publish", "--publisher", at, "fleet/routes"));
        assertEquals(64, run("control", "publish", "--publisher", at, "--remove", "fleet/routes", "--remove", "fleet/routes"));
        String state = directory.resolve("s").toString();
        assertEquals(64, run("control", "serve", "--listen", "127.0.0.1:0", "--id", "r", "--state", state));
        assertEquals(64, run("control", "serve", "--listen", "127.0.0.1:0", "--id", "r", "--state", state, "--publisher"));
        assertEquals(64, run("control", "serve", "--listen", "127.0.0.1:0", "--id", "r", "--state", state, "--epoch", "2", "--follow", at));
        assertEquals(64, run("control", "serve", "--listen", "here", "--id", "r", "--state", state, "--follow", at));
        assertEquals(64, run("control", "status", "--control", at, "--within", "soon"));
    }

    @Test
    void failuresAreReported() {
        String state = directory.resolve("s").toString();
        assertEquals(1, run("control", "serve", "--listen", at, "--id", "q", "--state", state, "--publisher", "--epoch", "1"));
        assertTrue(err.contains("cannot listen at " + at), err);
        assertEquals(78, run("control", "serve", "--listen", "127.0.0.1:0", "--id", "p", "--state", directory.resolve("p").toString(),
            "--publisher", "--epoch", "1"));
        assertTrue(err.contains("another control process"), err);
        publisher.close();
        assertEquals(1, run("control", "publish", "--publisher", at, "--remove", "fleet/routes"));
        assertEquals(1, run("control", "status", "--control", at));
    }

    @Test
    void statusShowsNodesWithTheVersionInForceAndNodesThatRefusedIt() throws Exception {
        String one = file("one.yaml", "effect: safe\ndeadline: 1 s\n");
        run("control", "publish", "--publisher", at, "--acks", "0", "fleet/classes.b=" + one);
        assertEquals(1, run("control", "status", "--control", at, "--version", "1.1"), "no node yet");
        reportAsNode("n1", "&in_force=1.1");
        assertEquals(0, run("control", "status", "--control", at + ",127.0.0.1:1", "--version", "1.1", "--within", "8s"), err);
        assertTrue(err.contains("127.0.0.1:1 does not answer"), err);
        assertTrue(out.contains("1 of 1 nodes have 1.1 in force"), out);
        reportAsNode("n2", "&in_force=1.0");
        assertEquals(1, run("control", "status", "--control", at, "--version", "1.1"));
        reportAsNode("n2", "&in_force=1.0&refused=1.1&fault=fleet/classes.b:1:1:+wrong");
        assertEquals(78, run("control", "status", "--control", at, "--version", "1.1", "--within", "1 ms"));
        assertTrue(out.contains("refused 1.1: fleet/classes.b:1:1: wrong"), out);
        assertTrue(out.contains("1 of 2 nodes have 1.1 in force, 1 refused it"), out);
        assertEquals(0, run("control", "status", "--control", at));
    }
}
