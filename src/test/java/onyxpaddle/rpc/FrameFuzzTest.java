package onyxpaddle.rpc;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.PooledByteBufAllocator;
import io.netty.util.ResourceLeakDetector;
import io.netty.util.ResourceLeakDetector.Level;
import java.util.Random;
import onyxpaddle.node.Body;
import onyxpaddle.node.SharedLimit;
import org.junit.jupiter.api.Test;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.value.Value;
import org.msgpack.value.ValueFactory;

/** Mutated frames in random pieces: each must be either read or rejected, with bounded memory and without buffer leaks. */
class FrameFuzzTest {
    private static final long SEED = 20261201;
    private static final int FRAMES = 60_000;
    private static final int MAX_PAYLOAD = 4096;

    /** Collects payloads in bodies as the connections do. Accepts only calls or only replies. */
    private static final class BodySink implements FrameSink {
        final SharedLimit.Share share = new SharedLimit(1 << 20).join();
        final boolean calls;
        Body body;
        int ended;

        BodySink(boolean calls) {
            this.calls = calls;
        }

        @Override
        public void call(long msgid, String method, int params, Envelope envelope) throws FormatException {
            beginBody(calls);
            assertTrue(method.length() <= 256 && params >= 0 && msgid <= 0xffffffffL);
        }

        @Override
        public void reply(long msgid) throws FormatException {
            beginBody(!calls);
        }

        private void beginBody(boolean expected) throws FormatException {
            if (!expected) {
                throw new FormatException("unexpected frame type");
            }
            assertEquals(null, body, "a frame began before the previous one ended");
            body = new Body(share, -1, MAX_PAYLOAD);
        }

        @Override
        public void payload(ByteBuf bytes) {
            if (body != null && !body.add(bytes)) {
                releaseBody();
            }
        }

        @Override
        public void errorEnded() {
            assertTrue(!calls);
        }

        @Override
        public boolean end() {
            ended++;
            releaseBody();
            return true;
        }

        void releaseBody() {
            if (body != null) {
                NodeError.read(body.whole());
                MsgPackValues.arrayLength(body.whole());
                body.release();
                body = null;
            }
        }
    }

    private final Random random = new Random(SEED);

    @Test
    void mutatedFramesAreReadOrRejectedWithoutLeaks() throws Exception {
        Level before = ResourceLeakDetector.getLevel();
        ResourceLeakDetector.setLevel(Level.PARANOID);
        PooledByteBufAllocator allocator = new PooledByteBufAllocator(true, 1, 1, 8192, 6, 0, 0, false);
        try {
            int calls = fuzz(true, allocator);
            int replies = fuzz(false, allocator);
            // Most mutations break a frame early; a minimum of complete frames shows that all decoder states are reached.
            assertTrue(calls > FRAMES / 20 && replies > FRAMES / 20, "seed " + SEED + ": " + calls + ", " + replies);
            assertEquals(0, allocator.pinnedDirectMemory() + allocator.pinnedHeapMemory(), "leaked buffers");
        } finally {
            ResourceLeakDetector.setLevel(before);
        }
    }

    private int fuzz(boolean calls, PooledByteBufAllocator allocator) throws Exception {
        int ended = 0;
        for (int i = 0; i < FRAMES; i++) {
            byte[] frame = mutated(frame(calls));
            BodySink sink = new BodySink(calls);
            FrameDecoder decoder = new FrameDecoder(FrameLimits.forPayload(MAX_PAYLOAD), sink);
            try {
                for (int at = 0; at < frame.length;) {
                    int count = Math.min(frame.length - at, 1 + random.nextInt(random.nextBoolean() ? 3 : 200));
                    ByteBuf in = allocator.directBuffer(count).writeBytes(frame, at, count);
                    try {
                        decoder.feed(in);
                        assertEquals(0, in.readableBytes());
                    } finally {
                        in.release();
                    }
                    assertTrue(sink.share.held() <= 2 * MAX_PAYLOAD + 8192, "memory limit exceeded");
                    at += count;
                }
            } catch (FormatException e) {
                assertTrue(e.getMessage().length() > 5);
            } catch (RuntimeException | AssertionError e) {
                throw new AssertionError("seed " + SEED + ", frame " + i + ": " + ByteBufUtil.hexDump(frame), e);
            }
            sink.releaseBody();
            assertEquals(0, sink.share.held());
            ended += sink.ended > 0 ? 1 : 0;
        }
        return ended;
    }

    private byte[] frame(boolean calls) throws Exception {
        try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
            if (calls && random.nextInt(4) == 0) {
                packer.packArrayHeader(3).packInt(2);
            } else {
                packer.packArrayHeader(4).packInt(calls ? 0 : 1).packLong(random.nextLong() >>> (32 + random.nextInt(32)));
            }
            if (calls) {
                packer.packString("method." + random.nextInt(100));
                int params = random.nextInt(4);
                boolean envelope = random.nextBoolean();
                packer.packArrayHeader(params + (envelope ? 1 : 0));
                if (envelope) {
                    packer.packMapHeader(1).packString(Envelope.NAME).packMapHeader(2).packString("key").packString("k")
                        .packString("expires").packInt(random.nextInt(10_000));
                }
                for (int i = 0; i < params; i++) {
                    packer.packValue(value(3));
                }
            } else {
                packer.packValue(random.nextBoolean() ? ValueFactory.newNil() : value(2)).packValue(value(3));
            }
            return packer.toByteArray();
        }
    }

    private Value value(int depth) {
        return switch (random.nextInt(depth > 0 ? 9 : 7)) {
            case 0 -> ValueFactory.newNil();
            case 1 -> ValueFactory.newBoolean(random.nextBoolean());
            case 2 -> ValueFactory.newInteger(random.nextLong() >> random.nextInt(64));
            case 3 -> ValueFactory.newFloat(random.nextDouble());
            case 4 -> ValueFactory.newString("x".repeat(random.nextInt(300)));
            case 5 -> ValueFactory.newBinary(new byte[random.nextInt(300)]);
            case 6 -> ValueFactory.newExtension((byte) random.nextInt(128), new byte[random.nextInt(40)]);
            case 7 -> ValueFactory.newArray(value(depth - 1), value(depth - 1));
            default -> ValueFactory.newMap(value(0), value(depth - 1), value(0), value(depth - 1));
        };
    }

    private byte[] mutated(byte[] frame) {
        byte[] mutant = frame.clone();
        for (int changes = random.nextInt(4); changes > 0 && mutant.length > 0; changes--) {
            int at = random.nextInt(mutant.length);
            switch (random.nextInt(5)) {
                case 0 -> mutant[at] = (byte) random.nextInt(256);
                case 1 -> mutant[at] ^= (byte) (1 << random.nextInt(8));
                case 2 -> mutant = java.util.Arrays.copyOf(mutant, at);
                case 3 -> mutant[at] = (byte) (0xc0 + random.nextInt(0x20));
                default -> {
                    byte[] longer = new byte[mutant.length + 1];
                    System.arraycopy(mutant, 0, longer, 0, at);
                    longer[at] = (byte) random.nextInt(256);
                    System.arraycopy(mutant, at, longer, at + 1, mutant.length - at);
                    mutant = longer;
                }
            }
        }
        return mutant;
    }
}
