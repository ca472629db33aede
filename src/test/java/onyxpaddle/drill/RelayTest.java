package onyxpaddle.drill;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketAddress;
import java.net.SocketException;
import java.net.SocketTimeoutException;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import onyxpaddle.drill.Drill.Cut;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Each way to cut a link, observed from both ends. */
class RelayTest {
    private static final int TIMEOUT_MS = 20_000;
    /** How long a link must deliver nothing to count as silent; data forwarded wrongly after that goes undetected. */
    private static final int SILENT_INTERVAL_MS = 200;

    private final MultiThreadIoEventLoopGroup loops = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final Link link = new Link();
    private final Map<SocketAddress, String> nodesByConnection = new ConcurrentHashMap<>();
    private ServerSocket box;
    private Relay relay;
    private Socket nodeSide;
    private Socket boxSide;

    @BeforeEach
    void connect() throws Exception {
        box = new ServerSocket(0, 10, InetAddress.getByName("127.0.0.1"));
        relay = new Relay(loops.next(), link, "n/0", () -> (InetSocketAddress) box.getLocalSocketAddress(), nodesByConnection);
        nodeSide = dial();
        boxSide = box.accept();
        boxSide.setSoTimeout(TIMEOUT_MS);
        assertForwarded(nodeSide, boxSide, 1);
        assertForwarded(boxSide, nodeSide, 2);
    }

    @AfterEach
    void close() throws Exception {
        nodeSide.close();
        boxSide.close();
        relay.close();
        box.close();
        loops.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync();
    }

    private Socket dial() throws IOException {
        Socket socket = new Socket("127.0.0.1", Integer.parseInt(relay.address().substring(relay.address().indexOf(':') + 1)));
        socket.setSoTimeout(TIMEOUT_MS);
        return socket;
    }

    private static void assertForwarded(Socket from, Socket to, int value) throws IOException {
        from.getOutputStream().write(value);
        assertEquals(value, to.getInputStream().read());
    }

    private static void assertSilent(Socket at) throws IOException {
        at.setSoTimeout(SILENT_INTERVAL_MS);
        assertThrows(SocketTimeoutException.class, () -> at.getInputStream().read());
        at.setSoTimeout(TIMEOUT_MS);
    }

    @Test
    void connectionsAreAttributedToTheirNode() {
        assertEquals("n/0", nodesByConnection.get(boxSide.getRemoteSocketAddress()));
    }

    @Test
    void silentLinkDeliversHeldDataOnceHealed() throws Exception {
        link.cut(Cut.SILENT, 0);
        nodeSide.getOutputStream().write(3);
        boxSide.getOutputStream().write(4);
        assertSilent(boxSide);
        assertSilent(nodeSide);
        link.heal();
        assertEquals(3, boxSide.getInputStream().read());
        assertEquals(4, nodeSide.getInputStream().read());
    }

    @Test
    void closeIsHeldToo() throws Exception {
        link.cut(Cut.SILENT, 0);
        nodeSide.getOutputStream().write(3);
        nodeSide.close();
        assertSilent(boxSide);
        link.heal();
        assertEquals(3, boxSide.getInputStream().read());
        assertEquals(-1, boxSide.getInputStream().read());
    }

    @Test
    void oneWayHoldsOnlyDataToTheBox() throws Exception {
        link.cut(Cut.ONE_WAY, 0);
        nodeSide.getOutputStream().write(3);
        assertForwarded(boxSide, nodeSide, 4);
        assertSilent(boxSide);
        link.heal();
        assertEquals(3, boxSide.getInputStream().read());
    }

    @Test
    void resetDropsHeldData() throws Exception {
        link.cut(Cut.SILENT_THEN_RESET, 0);
        nodeSide.getOutputStream().write(3);
        assertSilent(boxSide);
        relay.reset();
        assertThrows(SocketException.class, () -> nodeSide.getInputStream().read());
        assertThrows(SocketException.class, () -> boxSide.getInputStream().read());
    }

    @Test
    void refusedLinkResetsNewConnections() throws Exception {
        link.cut(Cut.REFUSED, 0);
        try (Socket other = dial()) {
            assertThrows(SocketException.class, () -> other.getInputStream().read());
        }
    }

    @Test
    void delayAndRateLimit() throws Exception {
        link.cut(Cut.DELAYED, 100);
        long before = System.nanoTime();
        assertForwarded(nodeSide, boxSide, 3);
        assertTrue(System.nanoTime() - before >= 100_000_000L);
        link.cut(Cut.SLOW, 1);
        before = System.nanoTime();
        nodeSide.getOutputStream().write(new byte[256]);
        boxSide.getInputStream().readNBytes(256);
        assertTrue(System.nanoTime() - before >= 240_000_000L, "256 bytes at a KiB a second");
    }
}
