package onyxpaddle.serve;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import onyxpaddle.command.Lupinmount;
import onyxpaddle.config.NodeConfig;
import onyxpaddle.serve.Loopback.Client;
import onyxpaddle.serve.Loopback.FakeServer;
import onyxpaddle.standin.StandInBgpPeer;
import org.junit.jupiter.api.Test;

/** A sidecar announces its service by BGP while it serves, and withdraws the route when it drains, fails, reloads or ends. */
class BgpAnnouncementTest {
    private static final String ADDRESS = "10.9.8.7/32";
    private static final String BOOK = "POST /visits HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n";

    private static NodeConfig config(StandInBgpPeer router, String server, String address) {
        String bgp = router == null ? "" : """
            bgp:
              as: 64600
              identifier: 10.0.0.4
              peers:
                router: {address: "127.0.0.1:%d", as: 64601, next-hop: 10.0.0.4, connect-retry: 1 s}
              addresses:
                booking: {prefixes: [%s], pools: [app], hold-down: 1 s, dwell: 500 ms}
            """.formatted(router.address().getPort(), address);
        return SidecarRig.config("""
            version: 1
            name: rig
            admin: "127.0.0.1:0"
            listeners:
              in: {address: "127.0.0.1:0"}
            classes:
              book: {effect: unsafe, deadline: 10 s}
            pools:
              app: {servers: ["%s"], attempts: 1}
            routes:
              - {name: book, listener: in, path: /visits, pool: app, class: book}
            """.formatted(server) + bgp);
    }

    private static void await(String what, Callable<Boolean> condition) throws Exception {
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(Loopback.TIMEOUT_MS);
        while (!condition.call()) {
            assertTrue(System.nanoTime() < end, what);
            TimeUnit.MILLISECONDS.sleep(1);
        }
    }

    private static StandInBgpPeer router() throws Exception {
        return new StandInBgpPeer("127.0.0.1", 64601, 0x0a000001, 30);
    }

    private static void call(Sidecar node, String path) throws Exception {
        try (Client operator = new Client(node.adminAddress())) {
            assertTrue(operator.send("POST " + path + " HTTP/1.1\r\n\r\n").readAnswer().startsWith("200"));
        }
    }

    @Test
    void drainWithdrawsTheRouteWithinTwoSecondsOfTheLastAnswerAndNotBefore() throws Exception {
        try (StandInBgpPeer router = router(); FakeServer box = new FakeServer("box")) {
            Sidecar node = Sidecar.start(config(router, box.address(), ADDRESS));
            await("not announced", () -> router.table().containsKey(ADDRESS));
            try (Client busy = new Client(node.address("in")); Client idle = new Client(node.address("in"))) {
                busy.send(BOOK);
                box.nextRequest();
                call(node, "/drain");
                await("the drain is not announced", () -> router.table().getOrDefault(ADDRESS, "").contains("ffff0000"));
                // Only the request in flight keeps the route announced now.
                assertNull(idle.readAnswer());
                assertTrue(router.table().containsKey(ADDRESS));
                box.answers.add(Loopback.ok("taken"));
                assertEquals("200 taken", busy.readAnswer());
                long answered = System.nanoTime();
                await("not withdrawn", () -> !router.table().containsKey(ADDRESS));
                assertTrue(router.changes().get(2).at() - answered < TimeUnit.SECONDS.toNanos(2));
            }
            call(node, "/undrain");
            await("not announced again", () -> router.table().containsKey(ADDRESS));
            assertEquals(4, router.changes().size(), router.changes().toString());
            assertEquals(List.of(), router.faults());
            node.stop();
        }
    }

    @Test
    void failingServiceIsWithdrawnAndAnnouncedAgainAfterItsServersRecover() throws Exception {
        try (StandInBgpPeer router = router(); FakeServer box = new FakeServer("box")) {
            Sidecar node = Sidecar.start(config(router, box.address(), ADDRESS));
            await("not announced", () -> router.table().containsKey(ADDRESS));
            long failureStart = System.nanoTime();
            while (router.table().containsKey(ADDRESS)) {
                assertTrue(System.nanoTime() - failureStart < TimeUnit.MILLISECONDS.toNanos(Loopback.TIMEOUT_MS), "not withdrawn");
                try (Client client = new Client(node.address("in"))) {
                    box.answers.add(FakeServer.RESET);
                    client.send(BOOK).readAnswer();
                }
            }
            // Callers that still reach the node, such as those on the same machine, show that the service has recovered.
            box.requests.clear();
            await("not announced again", () -> {
                try (Client client = new Client(node.address("in"))) {
                    box.answers.add(Loopback.ok("recovered"));
                    return client.send(BOOK).readAnswer() != null && router.table().containsKey(ADDRESS);
                }
            });
            assertEquals(List.of(), router.faults());
            node.stop();
        }
    }

    @Test
    void reloadAddsAndRemovesPeersAndAddresses() throws Exception {
        try (StandInBgpPeer first = router(); StandInBgpPeer second = router(); FakeServer box = new FakeServer("box")) {
            Sidecar node = Sidecar.start(config(null, box.address(), ""));
            node.change(config(first, box.address(), ADDRESS)).get();
            await("not announced", () -> first.table().containsKey(ADDRESS));
            node.change(config(first, box.address(), "10.9.8.6/32")).get();
            await("the address is not replaced", () -> first.table().containsKey("10.9.8.6/32") && !first.table().containsKey(ADDRESS));
            node.change(config(second, box.address(), "10.9.8.6/32")).get();
            await("not announced to the second peer", () -> second.table().containsKey("10.9.8.6/32"));
            await("the session with the first peer does not end", () -> first.notifications().contains("6/3"));
            node.change(config(null, box.address(), "")).get();
            await("the session with the second peer does not end", () -> second.notifications().contains("6/3"));
            assertEquals(1, first.sessions());
            assertEquals(List.of(), first.faults());
            node.stop();
        }
    }

    @Test
    void shutdownWithdrawsTheRouteAfterTheLastAnswerAndNotifiesThePeer() throws Exception {
        try (StandInBgpPeer router = router(); FakeServer box = new FakeServer("box")) {
            Sidecar node = Sidecar.start(config(router, box.address(), ADDRESS));
            await("not announced", () -> router.table().containsKey(ADDRESS));
            try (Client busy = new Client(node.address("in"))) {
                busy.send(BOOK);
                box.nextRequest();
                Thread end = new Thread(node::drain);
                end.start();
                await("the shutdown is not announced", () -> router.table().getOrDefault(ADDRESS, "").contains("ffff0000"));
                box.answers.add(Loopback.ok("taken"));
                assertEquals("200 taken", busy.readAnswer());
                busy.socket.close();
                end.join(Loopback.TIMEOUT_MS);
            }
            assertEquals(List.of("6/2"), router.notifications());
            assertEquals(false, router.changes().get(router.changes().size() - 1).announced());
            node.stop();
        }
    }

    @Test
    void adminCommandShowsSessionsAndAddresses() throws Exception {
        try (StandInBgpPeer router = router(); FakeServer box = new FakeServer("box")) {
            Sidecar node = Sidecar.start(config(router, box.address(), ADDRESS));
            await("not announced", () -> router.table().containsKey(ADDRESS));
            java.io.StringWriter out = new java.io.StringWriter();
            String[] show = {"bgp", "show", "--admin", "127.0.0.1:" + node.adminAddress().getPort()};
            assertEquals(0, Lupinmount.run(show, new java.io.PrintWriter(out), new java.io.PrintWriter(out)));
            assertTrue(out.toString().matches("\\{\"peers\":\\[\\{\"name\":\"router\",\"state\":\"established\",.*"
                + "\"name\":\"booking\",\"announced\":\"usual\",\"service\":\"up\".*10.9.8.7/32.*\\s"), out.toString());
            node.change(config(null, box.address(), "")).get();
            node.stop();
            assertEquals(1, Lupinmount.run(show, new java.io.PrintWriter(out), new java.io.PrintWriter(out)));
        }
    }

    @Test
    void checkCommandDescribesTheFile() {
        java.io.StringWriter out = new java.io.StringWriter();
        assertEquals(0, Lupinmount.run(new String[] {"bgp", "check", "deploy/bgp/booking.node.yaml"}, new java.io.PrintWriter(out),
            new java.io.PrintWriter(out)));
        assertTrue(out.toString().contains("clinic-booking: 10.9.8.7/32, 2001:db8:9::7/128 while all of app serve"), out.toString());
        assertTrue(out.toString()
            .contains("router-b: 127.0.0.3:1790, AS 64600 (internal), IPv4 by 10.0.0.4, IPv6 by 2001:db8::4, dialled"));
    }

    @Test
    void schemaIncludesTheBgpSection() {
        java.io.StringWriter out = new java.io.StringWriter();
        assertEquals(0, Lupinmount.run(new String[] {"sidecar", "schema", "configuration"}, new java.io.PrintWriter(out),
            new java.io.PrintWriter(out)));
        assertTrue(out.toString().contains("\"hold-time\""));
    }
}
