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
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import onyxpaddle.bgp.AnnouncePolicy.Standing;
import onyxpaddle.bgp.BgpMessage.Notification;
import onyxpaddle.bgp.Fsm.State;
import onyxpaddle.bgp.ServiceHealth.Status;
import onyxpaddle.bgp.Speaker.PeerTerms;
import onyxpaddle.node.Clock;
import onyxpaddle.standin.StandInBgpPeer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** The speaker against a stand-in router: sessions, drains, flaps, floods and collisions, on loopback. */
class SpeakerTest {
    private static final long MS = 1_000_000L;
    private static final long PATIENCE_S = 20;
    private static final String ADDRESS = "10.9.8.7/32";
    private static final Standing UP = new Standing(Status.UP, false, false);
    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private final Clock clock = new Clock();
    private Speaker speaker;
    private StandInBgpPeer peer;

    @BeforeEach
    void begin() throws Exception {
        peer = new StandInBgpPeer("127.0.0.1", 65002, 0x0a000002, 30);
        speaker = on(() -> new Speaker(loop, UnpooledByteBufAllocator.DEFAULT, clock, 5));
        on(() -> speaker.listen(new InetSocketAddress("127.0.0.1", 0))).sync();
        on(() -> {
            speaker.add("booking", new AnnouncePolicy(new AnnouncePolicy.Terms(List.of(new Prefix(new byte[] {10, 9, 8, 7}, 32)), false, false,
                10L, 200L, List.of(), List.of(), 2, 200 * MS, 2_000 * MS, 60), clock.now()));
            return null;
        });
    }

    @AfterEach
    void end() throws Exception {
        peer.close();
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync();
    }

    private <T> T on(Callable<T> work) throws Exception {
        return loop.submit(work).get(PATIENCE_S, TimeUnit.SECONDS);
    }

    private static PeerTerms terms(StandInBgpPeer to, String name, int peerAs, int mostPrefixes) {
        return new PeerTerms(name, to.address(), InetAddress.getLoopbackAddress(), new Fsm.Terms(65001, peerAs, 0x0a000001, 30, 300 * MS,
            50 * MS, 400 * MS, false), new byte[] {10, 0, 0, 1}, null, mostPrefixes);
    }

    private void add(PeerTerms terms) throws Exception {
        on(() -> {
            speaker.add(terms, 0);
            return null;
        });
    }

    private void stands(Standing standing) throws Exception {
        on(() -> {
            speaker.stands("booking", standing);
            return null;
        });
    }

    private static void await(String what, Callable<Boolean> holds) throws Exception {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(PATIENCE_S);
        while (!holds.call()) {
            assertTrue(System.nanoTime() < end, what);
            TimeUnit.MILLISECONDS.sleep(1);
        }
    }

    private State state() throws Exception {
        return on(() -> speaker.status().get(0).state());
    }

    @Test
    void aDrainIsSaidAndWithdrawnOnlyWithTheLastAnswer() throws Exception {
        add(terms(peer, "router", 65002, 100));
        await("no session", peer::established);
        assertTrue(peer.table().isEmpty(), "nothing before the service is up");
        stands(UP);
        await("not announced", () -> peer.table().containsKey(ADDRESS));
        stands(new Standing(Status.UP, true, false));
        await("the drain is not said", () -> peer.table().getOrDefault(ADDRESS, "").contains("ffff0000"));
        // As long as a request is out nothing is withdrawn, whatever else is looked at meanwhile.
        for (int i = 0; i < 20; i++) {
            stands(new Standing(Status.UP, true, false));
        }
        assertTrue(peer.table().containsKey(ADDRESS));
        long answered = System.nanoTime();
        stands(new Standing(Status.UP, true, true));
        await("not withdrawn", () -> !peer.table().containsKey(ADDRESS));
        assertTrue(System.nanoTime() - answered < 2_000 * MS);
        assertEquals(3, peer.changes().size(), peer.changes().toString());
        assertEquals(List.of(), peer.faults());
    }

    @Test
    void downIsWithdrawnAndUpAgainAnnouncedAfterTheHoldDown() throws Exception {
        add(terms(peer, "router", 65002, 100));
        stands(UP);
        await("not announced", () -> peer.table().containsKey(ADDRESS));
        stands(new Standing(Status.DOWN, false, false));
        await("not withdrawn", () -> !peer.table().containsKey(ADDRESS));
        stands(UP);
        await("not announced again", () -> peer.table().containsKey(ADDRESS));
        List<StandInBgpPeer.Change> changes = peer.changes();
        assertTrue(changes.get(2).at() - changes.get(1).at() >= 195 * MS, "held down");
        assertEquals(List.of(), peer.faults());
    }

    @Test
    void aSessionThatFlapsIsTakenUpAgainLaterEachTimeAndToldWhatHolds() throws Exception {
        add(terms(peer, "router", 65002, 100));
        stands(UP);
        for (int i = 1; i <= 5; i++) {
            int session = i;
            await("no session " + i, () -> peer.sessions() == session && peer.table().containsKey(ADDRESS));
            peer.breakOff();
        }
        await("no last session", () -> peer.sessions() == 6 && peer.table().containsKey(ADDRESS));
        assertTrue(on(() -> speaker.status().get(0).failures()) >= 5);
        assertEquals(6, peer.changes().stream().filter(StandInBgpPeer.Change::announced).count());
        assertEquals(List.of(), peer.faults());
    }

    @Test
    void bothSidesDialAtOnceAndOneSessionStands() throws Exception {
        stands(UP);
        for (int i = 0; i < 5; i++) {
            add(terms(peer, "router", 65002, 100));
            peer.dial(on(() -> speaker.address()));
            await("no session", () -> peer.established() && peer.table().containsKey(ADDRESS) && state() == State.ESTABLISHED);
            on(() -> {
                speaker.remove("router");
                return null;
            });
            await("still there", () -> !peer.established());
        }
        assertEquals(List.of(), peer.faults());
        assertTrue(peer.notifications().stream().filter(n -> n.equals("6/3")).count() >= 5, peer.notifications().toString());
    }

    @Test
    void whatIsNoMessageIsToldAndTheSessionBeginsAnew() throws Exception {
        add(terms(peer, "router", 65002, 100));
        String[][] faults = {{"0000000000000000000000000000000000130400", "1/1"}, {"ff".repeat(16) + "001209", "1/3"},
            {"ff".repeat(16) + "ffff02", "1/2"}, {"ff".repeat(16) + "001c0200000000" + "21" + "0a090807", "3/10"},
            {"ff".repeat(16) + "001d01" + "04fdea001e0a00000200", "5/3"}};
        for (int i = 0; i < faults.length; i++) {
            int session = i + 1;
            await("no session", () -> peer.sessions() == session && peer.established());
            peer.raw(HexFormat.of().parseHex(faults[i][0]));
            int told = i + 1;
            await("nothing told of " + faults[i][0], () -> peer.notifications().size() == told);
            assertEquals(faults[i][1], peer.notifications().get(i));
        }
    }

    @Test
    void aPeerOfAnotherAsIsRefusedAndOneThatIsSilentTakesNothingAlong() throws Exception {
        add(terms(peer, "router", 65009, 100));
        await("not refused", () -> peer.notifications().contains("2/2"));
        peer.silent(true);
        try (StandInBgpPeer sound = new StandInBgpPeer("127.0.0.1", 65002, 7, 30)) {
            add(terms(sound, "sound", 65002, 100));
            stands(UP);
            await("not announced", () -> sound.table().containsKey(ADDRESS));
        }
    }

    @Test
    void aPeerThatAnnouncesTooMuchIsLeftAndCostsNoMemory() throws Exception {
        add(terms(peer, "router", 65002, 1_000));
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
            // It has been left.
        }
        await("not left", () -> peer.notifications().contains("6/1"));
        assertTrue(on(() -> speaker.status().get(0).heardPrefixes()) < 2_000);
    }

    @Test
    void aRefreshIsAnsweredWithAllThatHolds() throws Exception {
        add(terms(peer, "router", 65002, 100));
        stands(UP);
        await("not announced", () -> peer.changes().size() == 1);
        peer.send(5, "0001 00 01");
        await("not told again", () -> peer.changes().size() == 2);
        assertEquals(List.of(), peer.faults());
    }

    @Test
    void theEndIsToldToAllPeersInOrder() throws Exception {
        try (StandInBgpPeer second = new StandInBgpPeer("127.0.0.1", 65003, 9, 30)) {
            add(terms(peer, "one", 65002, 100));
            add(terms(second, "two", 65003, 100));
            await("no sessions", () -> peer.established() && second.established());
            CountDownLatch done = new CountDownLatch(1);
            on(() -> {
                speaker.stop(new Notification(ErrorCode.SHUTDOWN), done::countDown);
                return null;
            });
            assertTrue(done.await(PATIENCE_S, TimeUnit.SECONDS));
            assertEquals(List.of("6/2"), peer.notifications());
            assertEquals(List.of("6/2"), second.notifications());
            assertFalse(peer.established());
        }
    }
}
