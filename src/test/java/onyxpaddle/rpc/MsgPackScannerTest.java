package onyxpaddle.rpc;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.Tuple;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.value.Value;
import org.msgpack.value.ValueFactory;

/** Compares scanner and writer with msgpack-core: the scanner must end exactly where a value written by the library ends. */
class MsgPackScannerTest {
    @Provide
    Arbitrary<Value> values() {
        Arbitrary<Value> scalars = Arbitraries.oneOf(
            Arbitraries.longs().map(ValueFactory::newInteger),
            Arbitraries.doubles().map(ValueFactory::newFloat),
            Arbitraries.of(true, false).map(ValueFactory::newBoolean),
            Arbitraries.strings().ofMaxLength(400).map(ValueFactory::newString),
            Arbitraries.bytes().array(byte[].class).ofMaxSize(400).map(ValueFactory::newBinary),
            Arbitraries.bytes().array(byte[].class).ofMaxSize(40).map(b -> ValueFactory.newExtension((byte) 5, b)),
            Arbitraries.just(ValueFactory.newNil()));
        return Arbitraries.recursive(() -> scalars, inner -> Arbitraries.oneOf(
            inner.list().ofMaxSize(20).map(ValueFactory::newArray),
            Arbitraries.maps(scalars, inner).ofMaxSize(20).map(ValueFactory::newMap)), 0, 3);
    }

    @Property(tries = 500, seed = "42")
    void scanEndsExactlyWhereTheValueEnds(@ForAll("values") Value value, @ForAll("splits") int split) throws Exception {
        try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
            packer.packValue(value);
            byte[] bytes = packer.toByteArray();
            ByteBuf in = Unpooled.wrappedBuffer(bytes, new byte[] {(byte) 0xc0, (byte) 0xc0});
            MsgPackScanner scanner = new MsgPackScanner(64);
            scanner.begin(bytes.length);
            int at = 0;
            while (at < bytes.length) {
                assertFalse(scanner.ended());
                int end = Math.min(in.writerIndex(), at + split);
                int next = scanner.scan(in, at, end);
                assertTrue(next == end || scanner.ended());
                at = next;
            }
            assertTrue(scanner.ended());
            assertEquals(bytes.length, at);
            assertEquals(0, scanner.bytesLeft());
        }
    }

    @Provide
    Arbitrary<Integer> splits() {
        return Arbitraries.of(1, 2, 3, 7, 64, 100_000);
    }

    @Property(tries = 300, seed = "43")
    void writerUsesTheShortestFormats(@ForAll("numbersAndStrings") Tuple.Tuple2<Long, String> sample) throws Exception {
        try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
            packer.packLong(sample.get1()).packString(sample.get2()).packArrayHeader((int) (sample.get1() & 0xfffff))
                .packBinaryHeader((int) (sample.get1() & 0xfffff)).packNil().packBoolean(true);
            ByteBuf out = Unpooled.buffer();
            MsgPackWriter.writeUnsigned(out, sample.get1());
            MsgPackWriter.writeString(out, sample.get2());
            MsgPackWriter.writeArrayHeader(out, (int) (sample.get1() & 0xfffff));
            MsgPackWriter.writeBinaryHeader(out, (int) (sample.get1() & 0xfffff));
            MsgPackWriter.writeNil(out);
            MsgPackWriter.writeBoolean(out, true);
            assertEquals(Unpooled.wrappedBuffer(packer.toByteArray()), out);
        }
    }

    @Provide
    Arbitrary<Tuple.Tuple2<Long, String>> numbersAndStrings() {
        Arbitrary<Long> numbers = Arbitraries.integers().between(0, 62).flatMap(bits -> Arbitraries.longs()
            .between(0, (1L << bits)));
        return numbers.flatMap(n -> Arbitraries.strings().ofMaxLength(400).map(s -> Tuple.of(n, s)));
    }
}
