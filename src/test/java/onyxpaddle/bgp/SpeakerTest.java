package onyxpaddle.bgp;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.UnpooledByteBufAllocator;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.HexFormat;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import onyxpaddle.bgp.AnnouncePolicy.AddressStatus;
import onyxpaddle.bgp.BgpMessage.Notification;
import onyxpaddle.bgp.Fsm.State;
import onyxpaddle.bgp.ServiceHealth.Status;
import onyxpaddle.bgp.Speaker.PeerSettings;
import onyxpaddle.node.Clock;
import onyxpaddle.standin.StandInBgpPeer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests the speaker against a simulated router on loopback: sessions, drains, flapping, floods and collisions. */
class SpeakerTest {
    private static final long MS = 1_000_000L;
    private static final long TIMEOUT_S = 20;
    private static final long HOLD_DOWN = 200 * MS;
    private static final String ADDRESS = "10.9.8.7/32";
    private static final AddressStatus UP = new AddressStatus(Status.UP, false, false);
    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private final Clock clock = new Clock();
    private Speaker speaker;
    private StandInBgpPeer peer;

    @BeforeEach
    void begin() throws Exception {
        peer = new StandInBgpPeer("127.0.0.1", 65002, 0x0a000002, 30);
        speaker = onLoop(() -> new Speaker(loop, UnpooledByteBufAllocator.DEFAULT, clock, 5));
        onLoop(() -> speaker.listen(new InetSocketAddress("127.0.0.1", 0))).sync();
        onLoop(() -> {
            speaker.add("booking", new AnnouncePolicy(new AnnouncePolicy.Settings(
                List.of(new Prefix(new byte[] {10, 9, 8, 7}, 32)), false, false,
                10L, 200L, List.of(), List.of(), 2, HOLD_DOWN, 2_000 * MS, 60),
                clock.now()));
            return null;
        });
    }

    @AfterEach
    void end() throws Exception {
        peer.close();
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync();
    }

    private <T> T onLoop(Callable<T> work) throws Exception {
        return loop.submit(work).get(TIMEOUT_S, TimeUnit.SECONDS);
    }

    private static PeerSettings settings(StandInBgpPeer to, String name, int peerAs, int maxPrefixes) {
        return new PeerSettings(name, to.address(), InetAddress.getLoopbackAddress(),
            new Fsm.Settings(65001, peerAs, 0x0a000001, 30, 300 * MS, 50 * MS, 400 * MS, false),
            new byte[] {10, 0, 0, 1}, null, maxPrefixes);
    }

    private void add(PeerSettings settings) throws Exception {
        onLoop(() -> {
            speaker.add(settings, 0);
            return null;
        });
    }

    private void updateStatus(AddressStatus status) throws Exception {
        onLoop(() -> {
            speaker.updateStatus("booking", status);
            return null;
        });
    }

    private static void await(String what, Callable<Boolean> holds) throws Exception {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_S);
        while (!holds.call()) {
            assertTrue(System.nanoTime() < end, what);
            TimeUnit.MILLISECONDS.sleep(1);
        }
    }

    private State sessionState() throws Exception {
        return onLoop(() -> speaker.status().get(0).state());
    }

    @Test
    void aDrainIsAnnouncedAndWithdrawnOnlyAfterTheLastAnswer() throws Exception {
        add(settings(peer, "router", 65002, 100));
        await("no session", peer::established);
        assertTrue(peer.table().isEmpty(), "nothing announced before the service is up");
        updateStatus(UP);
        await("not announced", () -> peer.table().containsKey(ADDRESS));
        updateStatus(new AddressStatus(Status.UP, true, false));
        await("drain not announced", () -> peer.table().getOrDefault(ADDRESS, "").contains("ffff0000"));
        // While a request is pending nothing is withdrawn, however often the status is updated.
        for (int i = 0; i < 20; i++) {
            updateStatus(new AddressStatus(Status.UP, true, false));
        }
        assertTrue(peer.table().containsKey(ADDRESS));
        long answered = System.nanoTime();
        updateStatus(new AddressStatus(Status.UP, true, true));
        await("not withdrawn", () -> !peer.table().containsKey(ADDRESS));
        assertTrue(System.nanoTime() - answered < 2_000 * MS);
        assertEquals(3, peer.changes().size(), peer.changes().toString());
        assertEquals(List.of(), peer.faults());
    }

    @Test
    void downIsWithdrawnAndAnnouncedAgainAfterTheHoldDown() throws Exception {
        add(settings(peer, "router", 65002, 100));
        updateStatus(UP);
        await("not announced", () -> peer.table().containsKey(ADDRESS));
        // Measured from before the withdrawal: the peer may see it late, but must not see the next announcement too early.
        long down = System.nanoTime();
        updateStatus(new AddressStatus(Status.DOWN, false, false));
        await("not withdrawn", () -> !peer.table().containsKey(ADDRESS));
        updateStatus(UP);
        await("not announced again", () -> peer.table().containsKey(ADDRESS));
        List<StandInBgpPeer.Change> changes = peer.changes();
        assertTrue(changes.get(2).at() - down >= HOLD_DOWN, "held down");
        assertEquals(List.of(), peer.faults());
    }

    @Test
    void aFlappingSessionIsReestablishedAndGetsTheCurrentRoutes() throws Exception {
        add(settings(peer, "router", 65002, 100));
        updateStatus(UP);
        for (int i = 1; i <= 5; i++) {
            int session = i;
            await("no session " + i, () -> peer.sessions() == session && peer.table().containsKey(ADDRESS));
            peer.closeSession();
        }
        await("no session after the last failure", () -> peer.sessions() == 6 && peer.table().containsKey(ADDRESS));
        assertTrue(onLoop(() -> speaker.status().get(0).failures()) >= 5);
        assertEquals(6, peer.changes().stream().filter(StandInBgpPeer.Change::announced).count());
        assertEquals(List.of(), peer.faults());
    }

    @Test
    void simultaneousConnectionsResultInOneSession() throws Exception {
        updateStatus(UP);
        for (int i = 0; i < 5; i++) {
            add(settings(peer, "router", 65002, 100));
            peer.dial(onLoop(() -> speaker.address()));
            await("no session", () -> peer.established() && peer.table().containsKey(ADDRESS) && sessionState() == State.ESTABLISHED);
            onLoop(() -> {
                speaker.remove("router");
                return null;
            });
            await("session not ended", () -> !peer.established());
        }
        assertEquals(List.of(), peer.faults());
        assertTrue(peer.notifications().stream().filter(n -> n.equals("6/3")).count() >= 5, peer.notifications().toString());
    }

    private static byte[] message(int type, String body) {
        byte[] bytes = HexFormat.of().parseHex(body.replace(" ", ""));
        return HexFormat.of().parseHex("ff".repeat(16) + "%04x%02x".formatted(19 + bytes.length, type) + HexFormat.of().formatHex(bytes));
    }

    /** Errors in Established (RFC 4271, 6.1, 6.3 and 6.6); the session is started again after each. */
    @Test
    void invalidMessagesAreReportedAndTheSessionIsRestarted() throws Exception {
        add(settings(peer, "router", 65002, 100));
        byte[] unmarked = message(4, "");
        unmarked[0] = 0;
        Map<String, byte[]> faults = new LinkedHashMap<>();
        faults.put("1/1", unmarked);
        faults.put("1/2", HexFormat.of().parseHex("ff".repeat(16) + "ffff02"));
        faults.put("1/3", message(9, ""));
        faults.put("3/1", message(2, "0009 0000"));
        faults.put("3/2", message(2, "0000 0003 406300"));
        faults.put("3/9", message(2, "0000 0004 800f0100"));
        faults.put("3/10", message(2, "0000 0000 21 0a090807"));
        faults.put("5/3", message(1, "04 fdea 001e 0a000002 00"));
        faults.put("7/1", message(5, "0001 00 01 00"));
        int session = 0;
        for (Map.Entry<String, byte[]> fault : faults.entrySet()) {
            int count = ++session;
            await("no session before " + fault.getKey(), () -> peer.sessions() == count && peer.established());
            peer.sendRaw(fault.getValue());
            await("no NOTIFICATION for " + fault.getKey(), () -> peer.notifications().size() == count);
            assertEquals(fault.getKey(), peer.notifications().get(count - 1));
        }
    }

    /** Errors before the session is established (RFC 4271, 6.2 and 6.6). */
    @Test
    void invalidOpensAndUnexpectedMessagesAreReported() throws Exception {
        peer.silent(true);
        add(settings(peer, "router", 65002, 100));
        Map<String, byte[]> faults = new LinkedHashMap<>();
        faults.put("2/0", message(1, "04 fdea 001e 0a000002 05"));
        faults.put("2/1", message(1, "03 fdea 001e 0a000002 00"));
        faults.put("2/2", message(1, "04 fdeb 001e 0a000002 00"));
        faults.put("2/3", message(1, "04 fdea 001e 00000000 00"));
        faults.put("2/4", message(1, "04 fdea 001e 0a000002 02 0100"));
        faults.put("2/6", message(1, "04 fdea 0002 0a000002 00"));
        faults.put("5/1", message(4, ""));
        faults.put("5/2", HexFormat.of().parseHex(HexFormat.of().formatHex(message(1, "04 fdea 001e 0a000002 00"))
            + HexFormat.of().formatHex(message(2, "0000 0000"))));
        int count = 0;
        for (Map.Entry<String, byte[]> fault : faults.entrySet()) {
            int expected = ++count;
            await("no OPEN before " + fault.getKey(), () -> sessionState() == State.OPEN_SENT && peer.opens() == expected);
            peer.sendRaw(fault.getValue());
            await("no NOTIFICATION for " + fault.getKey(), () -> peer.notifications().size() == expected);
            assertEquals(fault.getKey(), peer.notifications().get(expected - 1));
        }
    }

    /** Hold timer expiry (RFC 4271, 6.5). */
    @Test
    void aSilentPeerIsNotifiedWhenTheHoldTimeExpires() throws Exception {
        try (StandInBgpPeer brief = new StandInBgpPeer("127.0.0.1", 65002, 8, 3)) {
            add(settings(brief, "brief", 65002, 100));
            await("no session", brief::established);
            brief.silent(true);
            long since = System.nanoTime();
            await("no NOTIFICATION", () -> brief.notifications().contains("4/0"));
            assertTrue(System.nanoTime() - since >= 1_500 * MS, "not before the hold time");
        }
    }

    @Test
    void aPeerOfAnotherAsIsRefusedAndASilentPeerDoesNotAffectOthers() throws Exception {
        add(settings(peer, "router", 65009, 100));
        await("not refused", () -> peer.notifications().contains("2/2"));
        peer.silent(true);
        try (StandInBgpPeer sound = new StandInBgpPeer("127.0.0.1", 65002, 7, 30)) {
            add(settings(sound, "sound", 65002, 100));
            updateStatus(UP);
            await("not announced", () -> sound.table().containsKey(ADDRESS));
        }
    }

    @Test
    void aPeerThatExceedsTheMaximumPrefixesIsDisconnected() throws Exception {
        add(settings(peer, "router", 65002, 1_000));
        await("no session", peer::established);
        StringBuilder update = new StringBuilder("0000 0014 40010100 400206 0201 0000fdea 4003040a000002");
        for (int i = 0; i < 200; i++) {
            update.append("20%08x".formatted(0x0b000000 + i));
        }
        try {
            for (int i = 0; i < 5_000; i++) {
                peer.send(2, update.toString());
            }
        } catch (java.io.IOException e) {
            // The speaker has closed the connection.
        }
        await("not disconnected", () -> peer.notifications().contains("6/1"));
        assertTrue(onLoop(() -> speaker.status().get(0).receivedPrefixes()) < 2_000);
    }

    @Test
    void aRouteRefreshResendsTheCurrentRoutes() throws Exception {
        add(settings(peer, "router", 65002, 100));
        updateStatus(UP);
        await("not announced", () -> peer.changes().size() == 1);
        peer.send(5, "0001 00 01");
        await("not announced again", () -> peer.changes().size() == 2);
        assertEquals(List.of(), peer.faults());
    }

    @Test
    void stopNotifiesAllPeers() throws Exception {
        try (StandInBgpPeer second = new StandInBgpPeer("127.0.0.1", 65003, 9, 30)) {
            add(settings(peer, "one", 65002, 100));
            add(settings(second, "two", 65003, 100));
            await("no sessions", () -> peer.established() && second.established());
            CountDownLatch done = new CountDownLatch(1);
            onLoop(() -> {
                speaker.stop(new Notification(ErrorCode.SHUTDOWN), done::countDown);
                return null;
            });
            assertTrue(done.await(TIMEOUT_S, TimeUnit.SECONDS));
            assertEquals(List.of("6/2"), peer.notifications());
            assertEquals(List.of("6/2"), second.notifications());
            assertFalse(peer.established());
        }
    }
}
