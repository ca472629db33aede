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
 * The moment before a front closes a client's connection: what has come to its socket by then is answered, and what is on its way to
 * the client is not cut. The loop is held in one task from before the client writes until the front has decided, so the request is in
 * the socket and unread whenever the front looks.
 */
class RequestAtCloseTest {
    /** Just over an idle second, as an emptied node, or one with a successor, leaves them; under any limit on unread answers. */
    private static final long IDLE_GOES_MS = 1_100;
    /** The last connection came long enough before for the listener to close. */
    private static final long LISTENER_GOES_MS = 800;
    /** Beyond the longest that a caller waits and what the end adds to it, and within the time that is left for last words. */
    private static final long END_MS = 1_600;
    private static final int PIECE = 16 * 1024;
    private HttpFrontHarness rig;

    /** Why a connection between requests is closed. */
    private enum Reason { IDLE, DRAINING, ENDING, REPLACED }

    @BeforeEach
    void start() throws Exception {
        rig = new HttpFrontHarness();
    }

    @AfterEach
    void stop() throws Exception {
        rig.close();
    }

    /** The state changes, and time passes until such a connection goes. */
    private void becomesDue(Reason reason) throws Exception {
        switch (reason) {
            case IDLE -> rig.pass(HttpFrontHarness.LONGEST_IDLE / HttpFrontHarness.MILLI + 1);
            case DRAINING -> {
                assertTrue(rig.state.drain(rig.now()));
                rig.pass(IDLE_GOES_MS);
            }
            case ENDING, REPLACED -> {
                rig.state.end(rig.now(), reason == Reason.REPLACED, HttpFrontHarness.PATIENCE, 0);
                rig.pass(END_MS);
            }
        }
    }

    @ParameterizedTest
    @EnumSource
    void connectionThatGoesWithARequestUnreadIsNotClosed(Reason reason) throws Exception {
        try (Client client = rig.client()) {
            assertEquals(200, client.say(HttpFrontHarness.READY).hear());
            becomesDue(reason);
            rig.onLoop(() -> {
                client.say(HttpFrontHarness.READY);
                rig.sweep();
                return null;
            });
            assertEquals(reason == Reason.IDLE ? 200 : 503, client.hear());
        }
    }

    /** The same without a request: the look is not what keeps it open. */
    @ParameterizedTest
    @EnumSource
    void connectionThatGoesWithNothingUnreadIsClosed(Reason reason) throws Exception {
        try (Client client = rig.client()) {
            assertEquals(200, client.say(HttpFrontHarness.READY).hear());
            becomesDue(reason);
            rig.onLoop(() -> {
                rig.sweep();
                return null;
            });
            assertEquals(Client.ENDED, client.hear());
        }
    }

    /** The process would go in the very step in which the request is found. */
    @Test
    void requestThatIsUnreadAtTheLastStepOfTheEndIsAnswered() throws Exception {
        try (Client client = rig.client()) {
            assertEquals(200, client.say(HttpFrontHarness.READY).hear());
            rig.state.end(rig.now(), false, HttpFrontHarness.PATIENCE, 0);
            rig.end();
            rig.pass(LISTENER_GOES_MS);
            endStep();
            rig.awaitListenerClosed();
            rig.pass(END_MS - LISTENER_GOES_MS);
            rig.onLoop(() -> {
                client.say(HttpFrontHarness.READY);
                rig.endStep();
                return null;
            });
            assertEquals(503, client.hear());
            assertFalse(rig.ended());
            endStep();
            assertTrue(rig.ended());
            assertEquals(Client.ENDED, client.hear());
        }
    }

    private void endStep() throws Exception {
        rig.onLoop(() -> {
            rig.endStep();
            return null;
        });
    }

    /** A client that reads nothing: its last answer lies with the node, behind what the system takes no more of. */
    @ParameterizedTest
    @EnumSource(names = {"DRAINING", "ENDING", "REPLACED"})
    void connectionThatGoesWithAnAnswerUnsentIsNotClosed(Reason reason) throws Exception {
        try (Client client = rig.client()) {
            assertEquals(200, client.say(HttpFrontHarness.READY).hear());
            long filled = rig.onLoop(() -> fill(client.channel));
            long before = rig.onLoop(() -> unsent(client.channel));
            client.say(HttpFrontHarness.READY);
            rig.await(() -> unsent(client.channel) > before);
            becomesDue(reason);
            rig.onLoop(() -> {
                rig.sweep();
                return null;
            });
            InputStream in = client.socket.getInputStream();
            in.skipNBytes(filled);
            assertEquals(200, client.hear());
        }
    }

    /** Writes to a client until the system takes no more; returns how much, in bytes. Answers find the connection writable still. */
    private static long fill(Channel channel) {
        long filled = 0;
        do {
            channel.pipeline().firstContext().writeAndFlush(Unpooled.wrappedBuffer(new byte[PIECE]));
            filled += PIECE;
        } while (unsent(channel) == 0);
        assertTrue(channel.isWritable());
        return filled;
    }

    /** What the system has not taken of what was written, in bytes. */
    private static long unsent(Channel channel) {
        return channel.unsafe().outboundBuffer().totalPendingWriteBytes();
    }
}
