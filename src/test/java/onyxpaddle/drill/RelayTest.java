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

/** Each way in which a link can be cut, seen from both of its ends. */
class RelayTest {
    private static final int PATIENCE_MS = 20_000;
    /** How long nothing has to come for a link to be silent; only what is wrongly passed on within it would be seen. */
    private static final int SILENCE_MS = 200;

    private final MultiThreadIoEventLoopGroup loops = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final Link link = new Link();
    private final Map<SocketAddress, String> callers = new ConcurrentHashMap<>();
    private ServerSocket box;
    private Relay relay;
    private Socket near;
    private Socket far;

    @BeforeEach
    void connect() throws Exception {
        box = new ServerSocket(0, 10, InetAddress.getByName("127.0.0.1"));
        relay = new Relay(loops.next(), link, "n/0", () -> (InetSocketAddress) box.getLocalSocketAddress(), callers);
        near = dial();
        far = box.accept();
        far.setSoTimeout(PATIENCE_MS);
        pass(near, far, 1);
        pass(far, near, 2);
    }

    @AfterEach
    void close() throws Exception {
        near.close();
        far.close();
        relay.close();
        box.close();
        loops.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync();
    }

    private Socket dial() throws IOException {
        Socket socket = new Socket("127.0.0.1", Integer.parseInt(relay.address().substring(relay.address().indexOf(':') + 1)));
        socket.setSoTimeout(PATIENCE_MS);
        return socket;
    }

    private static void pass(Socket from, Socket to, int what) throws IOException {
        from.getOutputStream().write(what);
        assertEquals(what, to.getInputStream().read());
    }

    private static void silent(Socket at) throws IOException {
        at.setSoTimeout(SILENCE_MS);
        assertThrows(SocketTimeoutException.class, () -> at.getInputStream().read());
        at.setSoTimeout(PATIENCE_MS);
    }

    @Test
    void theBoxCanTellWhichNodeItIs() {
        assertEquals("n/0", callers.get(far.getRemoteSocketAddress()));
    }

    @Test
    void silentAndThenAllOfItLate() throws Exception {
        link.cut(Cut.SILENT, 0);
        near.getOutputStream().write(3);
        far.getOutputStream().write(4);
        silent(far);
        silent(near);
        link.heal();
        assertEquals(3, far.getInputStream().read());
        assertEquals(4, near.getInputStream().read());
    }

    @Test
    void newsOfACloseIsHeldToo() throws Exception {
        link.cut(Cut.SILENT, 0);
        near.getOutputStream().write(3);
        near.close();
        silent(far);
        link.heal();
        assertEquals(3, far.getInputStream().read());
        assertEquals(-1, far.getInputStream().read());
    }

    @Test
    void oneWay() throws Exception {
        link.cut(Cut.ONE_WAY, 0);
        near.getOutputStream().write(3);
        pass(far, near, 4);
        silent(far);
        link.heal();
        assertEquals(3, far.getInputStream().read());
    }

    @Test
    void resetWithWhatWasHeld() throws Exception {
        link.cut(Cut.SILENT_THEN_RESET, 0);
        near.getOutputStream().write(3);
        silent(far);
        relay.reset();
        assertThrows(SocketException.class, () -> near.getInputStream().read());
        assertThrows(SocketException.class, () -> far.getInputStream().read());
    }

    @Test
    void refusedAnew() throws Exception {
        link.cut(Cut.REFUSED, 0);
        try (Socket other = dial()) {
            assertThrows(SocketException.class, () -> other.getInputStream().read());
        }
    }

    @Test
    void delayedAndSlow() throws Exception {
        link.cut(Cut.DELAYED, 100);
        long before = System.nanoTime();
        pass(near, far, 3);
        assertTrue(System.nanoTime() - before >= 100_000_000L);
        link.cut(Cut.SLOW, 1);
        before = System.nanoTime();
        near.getOutputStream().write(new byte[256]);
        far.getInputStream().readNBytes(256);
        assertTrue(System.nanoTime() - before >= 240_000_000L, "256 bytes at a KiB a second");
    }
}
