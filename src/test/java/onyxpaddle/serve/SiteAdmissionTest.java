package onyxpaddle.serve;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import onyxpaddle.BalancerApi.Settings;
import onyxpaddle.config.Faults;
import onyxpaddle.serve.Loopback.Client;
import onyxpaddle.serve.Loopback.FakeDiscovery;
import onyxpaddle.serve.Loopback.FakeServer;
import onyxpaddle.siteplan.PlanFile;
import onyxpaddle.siteplan.Planner;
import onyxpaddle.siteplan.SitesReader;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** A node with a site-loss plan: requests that the plan refuses reach no server, and a plan that cannot be used is ignored. */
class SiteAdmissionTest {
    private static final String SITES = """
        version: 1
        name: two
        sites:
          a: {capacity: 1, nodes: 1}
          b: {capacity: 1, nodes: 1}
        classes:
          read: {work: 1 s, worth: 1, per-second: {a: 0.5, b: 0.4}}
        """;

    private static final int MAX_ATTEMPTS = 3;

    @TempDir
    Path folder;

    private Path files(String sites) throws Exception {
        Faults faults = new Faults();
        Files.writeString(folder.resolve("sites.yaml"), sites);
        Files.writeString(folder.resolve("plan.yaml"), PlanFile.text(Planner.plan(SitesReader.text("s", sites, faults))));
        return Files.writeString(folder.resolve("loss.yaml"), "version: 1\nsites: sites.yaml\nplan: plan.yaml\n");
    }

    /** No server of site b is listed, which leaves this node 0.9 s of work per second: less than one of these calls of 1 s each. */
    @Test
    void refusedRequestIsAnsweredByTheNodeAndReachesNoServer() throws Exception {
        try (FakeServer server = new FakeServer("s0"); Loopback rig = new Loopback(files(SITES).toString(), server);
                Client client = rig.client()) {
            for (int i = 0; i < 40; i++) {
                server.answers.add(Loopback.ok("yes"));
            }
            int served = 0;
            for (int i = 0; i < 40; i++) {
                String answer = client.send(Loopback.request("r" + i, "read")).readAnswer();
                served += answer.equals("200 yes") ? 1 : 0;
                assertTrue(answer.startsWith("200 ") || answer.startsWith("503 "), answer);
            }
            assertTrue(served < 20, served + " served");
            assertEquals(served, server.requests.size());
            server.answers.add(Loopback.ok("yes"));
            assertEquals("200 yes", client.send(Loopback.request("b", "book", "Content-Length: 0")).readAnswer(),
                "a class that the plan does not contain is served");
        }
    }

    /** The only server is in site a, so that a hold of the site leaves none: a request waits for the release and is then served. */
    @Test
    void heldSiteGetsNoRequestsUntilItsRelease() throws Exception {
        try (FakeServer server = new FakeServer("s0");
                Loopback rig = new Loopback(files(SITES.replace("capacity: 1,", "capacity: 90,")).toString(), server)) {
            assertTrue(siteCommand(rig, 0, "state")
                .contains("{\"pool\":\"\",\"site\":\"a\",\"phase\":\"sound\",\"held\":false,\"penalty\":0}"));
            assertEquals("yes\n", siteCommand(rig, 0, "hold", "a"));
            assertTrue(siteCommand(rig, 1, "hold", "b").contains("or holds all others"));
            assertTrue(siteCommand(rig, 1, "release", "c").contains("does not know the site `c`"));
            server.answers.add(Loopback.ok("yes"));
            // The client connects only now, as the node closes a new connection that sends nothing for 2.2 s.
            Client client = rig.client().send(Loopback.request("b", "book", "Content-Length: 0"));
            assertTrue(siteCommand(rig, 0, "state").contains("\"phase\":\"lost\",\"held\":true"));
            Loopback.await(() -> command(0, rig, "node", "figures").contains("svc_inflight 1\n"));
            assertEquals(0, server.requests.size());
            siteCommand(rig, 0, "release", "a");
            assertEquals("200 yes", client.readAnswer());
            client.close();
        }
    }

    private static String siteCommand(Loopback rig, int code, String... words) {
        return command(code, rig, java.util.stream.Stream.concat(java.util.stream.Stream.of("site"), java.util.Arrays.stream(words))
            .toArray(String[]::new));
    }

    private static String command(int code, Loopback rig, String... words) {
        java.io.StringWriter out = new java.io.StringWriter();
        java.io.PrintWriter writer = new java.io.PrintWriter(out, true);
        List<String> all = new java.util.ArrayList<>(List.of(words));
        all.addAll(List.of("--admin", "127.0.0.1:" + rig.node.adminAddress().getPort()));
        assertEquals(code, onyxpaddle.command.Lupinmount.run(all.toArray(new String[0]), writer, writer), out.toString());
        return out.toString();
    }

    @Test
    void nodeWithAnUnusablePlanServesWithoutIt() throws Exception {
        Path file = files(SITES);
        Files.writeString(folder.resolve("sites.yaml"), SITES.replace("capacity: 1", "capacity: 2"));
        try (FakeServer server = new FakeServer("s0"); Loopback rig = new Loopback(file.toString(), server); Client client = rig.client()) {
            for (int i = 0; i < 10; i++) {
                // On a busy machine an attempt may time out, and each further one takes an answer.
                server.answers.addAll(Collections.nCopies(MAX_ATTEMPTS, Loopback.ok("yes")));
                assertEquals("200 yes", client.send(Loopback.request("r" + i, "read")).readAnswer());
                server.answers.clear();
            }
        }
    }

    @Test
    void gateExistsOnlyForThisNodesClassesAndSite() throws Exception {
        try (FakeServer server = new FakeServer("s0"); FakeDiscovery discovery = new FakeDiscovery("")) {
            Settings settings = PlatformConfig.parse(Loopback.config(discovery, server).getBytes(StandardCharsets.UTF_8), Map.of())
                .settings();
            assertNotNull(SiteGates.of(files(SITES).toString(), settings, 1));
            assertNull(SiteGates.of(files(SITES.replace("read:", "write:")).toString(), settings, 1));
            assertNull(SiteGates.of(files(SITES.replace("a:", "c:")).toString(), settings, 1));
            assertNull(SiteGates.of(folder.resolve("none.yaml").toString(), settings, 1));
            Files.writeString(folder.resolve("loss.yaml"), "version: 1\nsites: sites.yaml\nplan: plan.yaml\nconfrim: 1 s\n");
            assertNull(SiteGates.of(folder.resolve("loss.yaml").toString(), settings, 1));
        }
    }
}
