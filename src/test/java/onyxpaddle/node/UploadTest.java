package onyxpaddle.node;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;

class UploadTest {
    private static final int MAX_BYTES = 1 << 20;
    private static final int PIECES = 20_000;

    private final SharedLimit.Share budget = new SharedLimit(MAX_BYTES).join();
    private final List<ByteBuf> given = new ArrayList<>();
    private final ByteArrayOutputStream sent = new ByteArrayOutputStream();

    /** An attempt that keeps what it takes. */
    private static final class Attempt implements Upload.Sink {
        final ByteArrayOutputStream got = new ByteArrayOutputStream();
        boolean whole;

        void start(Upload upload) throws IOException {
            ByteBuf held = upload.attach(this);
            held.readBytes(got, held.readableBytes());
            upload.resume();
        }

        @Override
        public void take(ByteBuf more, boolean last) {
            try {
                more.readBytes(got, more.readableBytes());
            } catch (IOException e) {
                throw new IllegalStateException(e);
            }
            more.release();
            whole = last;
        }

        @Override
        public void flush() {
        }

        @Override
        public void aborted() {
        }
    }

    private Upload upload(byte[] first) throws IOException {
        Body held = new Body(budget, -1, MAX_BYTES);
        assertTrue(held.add(Unpooled.wrappedBuffer(first)));
        sent.write(first);
        return new Upload(-1, held, new Upload.Reader() {
            @Override
            public void read(boolean on) {
            }

            @Override
            public long waitsSince() {
                return 0;
            }
        });
    }

    private ByteBuf part(byte[] bytes) throws IOException {
        sent.write(bytes);
        ByteBuf part = Unpooled.copiedBuffer(bytes);
        given.add(part);
        return part;
    }

    /** Guards against an attempt that has the rest of a body of which the first part has gone elsewhere. */
    @Test
    void bodyIsAvailableToOneAttemptOnly() throws IOException {
        Upload upload = upload(new byte[] {1, 2});
        assertTrue(upload.available());
        new Attempt().start(upload);
        assertFalse(upload.available());
        assertThrows(IllegalStateException.class, () -> new Attempt().start(upload));
        Upload released = upload(new byte[] {1});
        released.release();
        assertFalse(released.available());
        assertThrows(IllegalStateException.class, () -> new Attempt().start(released));
    }

    /** Guards against what arrives after its attempt has ended being held for, and sent by, another one. */
    @Test
    void attemptThatEndsHasThePartSoFarAndTheRestIsDropped() throws IOException {
        Upload upload = upload(new byte[] {1, 2});
        Attempt attempt = new Attempt();
        upload.add(part(new byte[] {3}), false);
        attempt.start(upload);
        upload.add(part(new byte[] {4}), false);
        upload.detach(attempt);
        upload.add(part(new byte[] {5}), true);
        assertArrayEquals(new byte[] {1, 2, 3, 4}, attempt.got.toByteArray());
        assertFalse(attempt.whole);
        assertFalse(upload.available());
        given.forEach(part -> assertEquals(0, part.refCnt()));
    }

    /** Guards against memory that is given out again while its bytes still wait to be written to a slow server. */
    @Test
    void heldBytesAreCountedUntilTheyHaveBeenWritten() throws IOException {
        Upload upload = upload(new byte[100]);
        long counted = budget.held();
        assertTrue(counted >= 100);
        Attempt attempt = new Attempt();
        attempt.start(upload);
        upload.add(part(new byte[] {1}), true);
        assertEquals(counted, budget.held());
        upload.releaseHeld();
        assertEquals(0, budget.held());
        upload.release();
        assertEquals(0, budget.held());
    }

    /** Guards against a request that a server has whole before it is known that its caller is there. */
    @Test
    void endIsPassedOnOnlyWhenItMay() throws IOException {
        for (boolean ends : new boolean[] {true, false}) {
            Upload upload = upload(new byte[] {1});
            Attempt attempt = new Attempt();
            upload.holdEnd();
            attempt.start(upload);
            upload.add(part(new byte[] {2}), false);
            upload.add(part(new byte[] {3}), true);
            assertArrayEquals(new byte[] {1, 2}, attempt.got.toByteArray());
            if (ends) {
                upload.passEnd();
                assertArrayEquals(new byte[] {1, 2, 3}, attempt.got.toByteArray());
            }
            assertEquals(ends, attempt.whole);
            upload.release();
            given.forEach(part -> assertEquals(0, part.refCnt()));
        }
    }

    /** Guards against buffers that nest, and so end the stack, one level for each piece that waits for a server. */
    @Test
    void bytesThatWaitInTinyPiecesDoNotNest() throws IOException {
        Upload upload = upload(new byte[1]);
        for (int i = 0; i < PIECES; i++) {
            upload.add(part(new byte[] {(byte) i}), false);
        }
        Attempt attempt = new Attempt();
        attempt.start(upload);
        assertArrayEquals(sent.toByteArray(), attempt.got.toByteArray());
        upload.release();
        assertEquals(0, budget.held());
    }

    /** Guards against memory that bytes take which wait for a server, and that is counted by nobody. */
    @Test
    void bytesThatWaitAreCounted() throws IOException {
        Upload upload = upload(new byte[1]);
        for (int i = 0; i < PIECES; i++) {
            upload.add(part(new byte[] {(byte) i}), false);
        }
        assertTrue(budget.held() >= PIECES, budget.held() + " bytes");
        upload.release();
        assertEquals(0, budget.held());
    }

    @Test
    void attemptHasTheWholeBodyInAnyOrderOfArrivalAndEventsAndNothingLeaks() throws IOException {
        for (int seed = 0; seed < 500; seed++) {
            Random random = new Random(seed);
            sent.reset();
            given.clear();
            Upload upload = upload(new byte[random.nextInt(3)]);
            Attempt attempt = new Attempt();
            int parts = random.nextInt(6);
            int startsAt = random.nextInt(parts + 2);
            int endsAt = random.nextInt(3 * parts + 3);
            for (int i = 0; i <= parts; i++) {
                if (i == startsAt) {
                    attempt.start(upload);
                }
                if (i == endsAt) {
                    upload.detach(attempt);
                }
                byte[] bytes = new byte[1 + random.nextInt(20)];
                random.nextBytes(bytes);
                upload.add(part(bytes), i == parts);
            }
            if (startsAt > parts) {
                attempt.start(upload);
            }
            assertEquals(startsAt > endsAt || endsAt > parts || startsAt > parts, attempt.whole, "seed " + seed);
            if (attempt.whole) {
                assertArrayEquals(sent.toByteArray(), attempt.got.toByteArray(), "seed " + seed);
            }
            upload.release();
            given.forEach(part -> assertEquals(0, part.refCnt()));
            assertEquals(0, budget.held());
        }
    }
}
