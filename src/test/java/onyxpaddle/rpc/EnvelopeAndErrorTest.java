package onyxpaddle.rpc;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.StringLength;
import onyxpaddle.rpc.NodeError.Code;
import org.junit.jupiter.api.Test;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessageUnpacker;

/** Envelopes and node errors that this node writes can be read back, by its own reader and by msgpack-core. */
class EnvelopeAndErrorTest {
    @Property(tries = 200, seed = "45")
    void envelopeRoundTrip(@ForAll @StringLength(max = 60) String key, @ForAll boolean retry,
            @ForAll boolean optionalFields) throws Exception {
        Envelope envelope = new Envelope(optionalFields ? 1234 : Double.NaN, key.isEmpty() ? null : key,
            optionalFields ? "clinic" : null, retry, optionalFields ? 0.25 : Double.NaN);
        ByteBuf out = Unpooled.buffer();
        envelope.write(out);
        out.skipBytes(Envelope.PREFIX_LENGTH);
        assertEquals(envelope, Envelope.read(out));
        assertEquals(0, out.readableBytes());
    }

    @Test
    void errorsAreReadableByThisReaderAndByMsgpackCore() throws Exception {
        for (Code code : Code.values()) {
            NodeError error = new NodeError(code, code.defaultMessage, code == Code.REFUSED ? 250 : 0);
            ByteBuf out = Unpooled.buffer();
            error.write(out);
            try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(out.array(), 0, out.readableBytes())) {
                String json = unpacker.unpackValue().toJson();
                assertEquals("{\"lupinmount\":{\"code\":\"" + code.wireName() + "\",\"message\":\"" + code.defaultMessage + "\""
                    + (code == Code.REFUSED ? ",\"retry_after\":250" : "") + "}}", json);
            }
            assertEquals(error, NodeError.read(out));
        }
    }

    @Test
    void applicationErrorsAreNotNodeErrors() {
        for (String hex : new String[] {"", "c0", "05", "a3626164", "80", "81a16105", "81aa6c7570696e6d6f756e74c0",
            "81aa6c7570696e6d6f756e7480", "81aa6c7570696e6d6f756e7481a4636f6465a3626164",
            "82aa6c7570696e6d6f756e7480c0c0", "81aa6c7570696e6d6f756e7481a4636f6465a7"}) {
            assertNull(NodeError.read(Unpooled.wrappedBuffer(io.netty.buffer.ByteBufUtil.decodeHexDump(hex))), hex);
        }
    }
}
