package onyxpaddle.http;

import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.Channel;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.lang.reflect.InvocationTargetException;
import java.lang.reflect.Proxy;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.Callable;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import onyxpaddle.drain.NodeState;
import onyxpaddle.front.ListeningFront.Surroundings;
import onyxpaddle.node.ResourceBudget;
import onyxpaddle.node.Clock;
import onyxpaddle.node.SocketBuffers;

/**
 * An HTTP front with real connections whose clock and whose periodic tasks are the test's: it decides when the front looks at its
 * connections and when the end takes a step, and so what has come to a socket by then. Requests are questions for readiness, which
 * the front answers by itself.
 */
final class HttpFrontHarness implements AutoCloseable {
    static final String READY = "GET /ready HTTP/1.1\r\nHost: node\r\n\r\n";
    static final long MILLI = 1_000_000L;
    static final long LONGEST_IDLE = 60_000 * MILLI;
    static final long PATIENCE = 1_000 * MILLI;
    private static final int PATIENCE_MS = 20_000;
    private static final int DESCRIPTORS = 1_024;
    private static final long HEAP = 1L << 26;
    /** Of a client: small, so that what it leaves unread is soon the node's to hold. */
    private static final int RECEIVE_BUFFER = 16 * 1024;

    final NodeState state = new NodeState();
    final HttpFront front;
    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private final List<Runnable> periodic = new ArrayList<>();
    /** The listener's, and then those of its clients as they come. */
    private final BlockingQueue<Channel> channels = new LinkedBlockingQueue<>();
    private final Channel listener;
    private volatile long now = 1_700_000_000_000L * MILLI;
    private volatile boolean ended;

    HttpFrontHarness() throws Exception {
        EventLoop captured = (EventLoop) Proxy.newProxyInstance(HttpFrontHarness.class.getClassLoader(), new Class<?>[] {EventLoop.class},
            (proxy, method, arguments) -> {
                if (method.getName().equals("scheduleWithFixedDelay")) {
                    periodic.add((Runnable) arguments[0]);
                    return loop.schedule(() -> { }, 1, TimeUnit.DAYS);
                }
                if (method.getName().equals("register") && arguments[0] instanceof Channel channel) {
                    channels.add(channel);
                }
                try {
                    return method.invoke(loop, arguments);
                } catch (InvocationTargetException e) {
                    throw e.getCause();
                }
            });
        Clock clock = new Clock() {
            @Override
            public long now() {
                return now;
            }
        };
        front = new HttpFront(new Surroundings(captured, SocketBuffers.allocator(), clock, new ResourceBudget(DESCRIPTORS, HEAP), state),
            new ReadinessOnly(), () -> true);
        front.listen(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), false).sync();
        listener = channels.take();
        onLoop(() -> {
            front.open();
            return null;
        });
    }

    /** Reads no request but the question for readiness. */
    private static final class ReadinessOnly implements RequestDialect {
        @Override
        public RoutedRequest read(HttpRequest request, InetSocketAddress caller) throws RequestRejectedException {
            throw new RequestRejectedException(HttpResponseStatus.NOT_FOUND);
        }

        @Override
        public boolean isReadinessCheck(HttpRequest request) {
            return request.uri().equals("/ready");
        }

        @Override
        public long maxCallerTimeout() {
            return PATIENCE;
        }

        @Override
        public long firstRequestTimeout() {
            return LONGEST_IDLE;
        }

        @Override
        public long idleTimeout() {
            return LONGEST_IDLE;
        }

        @Override
        public String localAnswer(HttpResponseStatus status, long retryAfter, HttpHeaders headers) {
            return "";
        }
    }

    // ---- what the test decides ----

    /** Does it as one task of the loop: the loop comes to no socket meanwhile. */
    <T> T onLoop(Callable<T> task) throws Exception {
        return loop.submit(task).get(PATIENCE_MS, TimeUnit.MILLISECONDS);
    }

    /** Waits until the loop sees that it holds. */
    void await(Callable<Boolean> check) throws Exception {
        long end = System.nanoTime() + PATIENCE_MS * MILLI;
        while (!onLoop(check)) {
            assertTrue(System.nanoTime() < end, "waited in vain");
            Thread.onSpinWait();
        }
    }

    /** Time passes, once the loop has dealt with what was heard of it. */
    void pass(long millis) throws Exception {
        onLoop(() -> now += millis * MILLI);
    }

    long now() {
        return now;
    }

    /** The front looks at each of its connections; on the loop. */
    void sweep() {
        periodic.get(0).run();
    }

    /** Begins the planned end. */
    void end() throws Exception {
        onLoop(() -> {
            front.end(() -> ended = true);
            return null;
        });
    }

    /** The end takes its next step; on the loop. */
    void endStep() {
        periodic.get(1).run();
    }

    /** Whether the front has said that its end is done. */
    boolean ended() {
        return ended;
    }

    /** Waits until the listener has closed. */
    void awaitListenerClosed() {
        assertTrue(listener.closeFuture().awaitUninterruptibly(PATIENCE_MS));
    }

    // ---- clients ----

    /** A connection that the front has accepted. */
    Client client() throws Exception {
        return new Client(front.address(), channels);
    }

    static final class Client implements AutoCloseable {
        static final int ENDED = -1;
        final Socket socket = new Socket();
        /** The front's side of it. */
        final Channel channel;

        private Client(InetSocketAddress to, BlockingQueue<Channel> accepted) throws Exception {
            socket.setSoTimeout(PATIENCE_MS);
            socket.setTcpNoDelay(true);
            socket.setReceiveBufferSize(RECEIVE_BUFFER);
            socket.connect(to);
            channel = accepted.poll(PATIENCE_MS, TimeUnit.MILLISECONDS);
        }

        Client say(String text) throws IOException {
            socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
            return this;
        }

        /** The status of the next answer; {@link #ENDED} where the node has ended the connection in order. */
        int hear() throws IOException {
            return hear(socket.getInputStream());
        }

        /** The same, of any connection. */
        static int hear(InputStream in) throws IOException {
            ByteArrayOutputStream head = new ByteArrayOutputStream();
            while (!head.toString(StandardCharsets.ISO_8859_1).endsWith("\r\n\r\n")) {
                int next = in.read();
                if (next < 0) {
                    return ENDED;
                }
                head.write(next);
            }
            return Integer.parseInt(head.toString(StandardCharsets.ISO_8859_1).split(" ")[1]);
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }

    @Override
    public void close() {
        loop.submit(front::close).syncUninterruptibly();
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }
}
