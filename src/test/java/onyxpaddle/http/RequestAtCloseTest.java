package onyxpaddle.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import java.io.InputStream;
import onyxpaddle.http.HttpFrontHarness.Client;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Guards against losing requests and answers when a front closes an idle connection: a request that is in the socket by then must
 * be answered, and an answer that is still being sent must not be cut. The event loop is held in one task from before the client
 * writes until the front has decided, so that the request is in the socket and unread when the front checks the connection.
 */
class RequestAtCloseTest {
    /** Just over the second for which a draining or replaced node keeps idle connections; below any limit on unread answers. */
    private static final long IDLE_CLOSE_MS = 1_100;
    /** The time after the last accept at which a node that shuts down closes its listener. */
    private static final long LISTENER_CLOSE_MS = 800;
    /** Beyond the longest caller timeout and the shutdown's grace period, but within the extra time for late requests. */
    private static final long SHUTDOWN_MS = 1_600;
    private static final int CHUNK_BYTES = 16 * 1024;
    private HttpFrontHarness harness;

    /** Why a connection between requests is closed. */
    private enum Reason { IDLE, DRAINING, ENDING, REPLACED }

    @BeforeEach
    void start() throws Exception {
        harness = new HttpFrontHarness();
    }

    @AfterEach
    void stop() throws Exception {
        harness.close();
    }

    /** Changes the state and advances the clock until an idle connection is closed for that reason. */
    private void reachCloseTime(Reason reason) throws Exception {
        switch (reason) {
            case IDLE -> harness.advance(HttpFrontHarness.IDLE_TIMEOUT_NANOS / HttpFrontHarness.NANOS_PER_MS + 1);
            case DRAINING -> {
                assertTrue(harness.state.drain(harness.now()));
                harness.advance(IDLE_CLOSE_MS);
            }
            case ENDING, REPLACED -> {
                harness.state.end(harness.now(), reason == Reason.REPLACED, HttpFrontHarness.CALLER_TIMEOUT_NANOS, 0);
                harness.advance(SHUTDOWN_MS);
            }
        }
    }

    @ParameterizedTest
    @EnumSource
    void unreadRequestIsAnsweredBeforeClose(Reason reason) throws Exception {
        try (Client client = harness.connect()) {
            assertEquals(200, client.send(HttpFrontHarness.READY).readStatus());
            reachCloseTime(reason);
            harness.onLoop(() -> {
                client.send(HttpFrontHarness.READY);
                harness.sweep();
                return null;
            });
            assertEquals(reason == Reason.IDLE ? 200 : 503, client.readStatus());
        }
    }

    /** Counter-check without a request: the check itself does not keep the connection open. */
    @ParameterizedTest
    @EnumSource
    void connectionWithoutUnreadRequestIsClosed(Reason reason) throws Exception {
        try (Client client = harness.connect()) {
            assertEquals(200, client.send(HttpFrontHarness.READY).readStatus());
            reachCloseTime(reason);
            harness.onLoop(() -> {
                harness.sweep();
                return null;
            });
            assertEquals(Client.CLOSED, client.readStatus());
        }
    }

    /** The request is found in the very step in which the process would exit. */
    @Test
    void unreadRequestAtLastShutdownStepIsAnswered() throws Exception {
        try (Client client = harness.connect()) {
            assertEquals(200, client.send(HttpFrontHarness.READY).readStatus());
            harness.state.end(harness.now(), false, HttpFrontHarness.CALLER_TIMEOUT_NANOS, 0);
            harness.end();
            harness.advance(LISTENER_CLOSE_MS);
            endStep();
            harness.awaitListenerClosed();
            harness.advance(SHUTDOWN_MS - LISTENER_CLOSE_MS);
            harness.onLoop(() -> {
                client.send(HttpFrontHarness.READY);
                harness.endStep();
                return null;
            });
            assertEquals(503, client.readStatus());
            assertFalse(harness.ended());
            endStep();
            assertTrue(harness.ended());
            assertEquals(Client.CLOSED, client.readStatus());
        }
    }

    private void endStep() throws Exception {
        harness.onLoop(() -> {
            harness.endStep();
            return null;
        });
    }

    /** The client reads nothing, so the socket buffers are full and its last answer is still queued in the node. */
    @ParameterizedTest
    @EnumSource(names = {"DRAINING", "ENDING", "REPLACED"})
    void unsentAnswerIsDeliveredBeforeClose(Reason reason) throws Exception {
        try (Client client = harness.connect()) {
            assertEquals(200, client.send(HttpFrontHarness.READY).readStatus());
            long filled = harness.onLoop(() -> fill(client.channel));
            long before = harness.onLoop(() -> unsent(client.channel));
            client.send(HttpFrontHarness.READY);
            harness.await(() -> unsent(client.channel) > before);
            reachCloseTime(reason);
            harness.onLoop(() -> {
                harness.sweep();
                return null;
            });
            InputStream in = client.socket.getInputStream();
            in.skipNBytes(filled);
            assertEquals(200, client.readStatus());
        }
    }

    /** Fills the socket buffers of a connection, which stays writable for answers; returns the number of bytes written. */
    private static long fill(Channel channel) {
        long filled = 0;
        do {
            channel.pipeline().firstContext().writeAndFlush(Unpooled.wrappedBuffer(new byte[CHUNK_BYTES]));
            filled += CHUNK_BYTES;
        } while (unsent(channel) == 0);
        assertTrue(channel.isWritable());
        return filled;
    }

    /** Bytes written to the channel that the operating system has not accepted. */
    private static long unsent(Channel channel) {
        return channel.unsafe().outboundBuffer().totalPendingWriteBytes();
    }
}
