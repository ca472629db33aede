package onyxpaddle.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.UnpooledByteBufAllocator;
import io.netty.channel.ChannelFuture;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.util.ArrayList;
import java.util.List;
import onyxpaddle.node.SharedLimit;
import onyxpaddle.node.SocketBuffers;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** What waits to be taken by the system is counted by what it takes of the heap. */
class UnsentBytesTest {
    private static final int CONNECTIONS = 400;
    /** What the account may be under the heap's own figure by. */
    private static final double TOLERANCE = 0.1;

    private static long usedHeap() {
        for (int i = 0; i < 3; i++) {
            System.gc();
        }
        return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
    }

    /** Guards against a heap that fills with an answer's pieces of a few bytes each, which its reader does not take. */
    @ParameterizedTest
    @CsvSource({"1, 100", "10, 100", "1000, 30", "16000, 4"})
    void accountHoldsWhatTheHeapHolds(int pieceBytes, int pieces) {
        SharedLimit.Share memory = new SharedLimit(Long.MAX_VALUE / 4).join();
        List<EmbeddedChannel> channels = new ArrayList<>();
        for (int i = 0; i < CONNECTIONS; i++) {
            EmbeddedChannel channel = new EmbeddedChannel(new HttpResponseEncoder());
            channel.config().setAllocator(UnpooledByteBufAllocator.DEFAULT);
            DefaultHttpResponse head = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
            HttpUtil.setTransferEncodingChunked(head, true);
            channel.write(head);
            channels.add(channel);
        }
        long before = usedHeap();
        for (EmbeddedChannel channel : channels) {
            UnsentBytes unsent = new UnsentBytes(memory);
            for (int i = 0; i < pieces; i++) {
                ByteBuf read = channel.alloc().heapBuffer(pieceBytes).writeZero(pieceBytes);
                ByteBuf piece = SocketBuffers.kept(read, channel.alloc());
                read.release();
                ChannelFuture write = channel.write(new DefaultHttpContent(piece));
                unsent.add(write, pieceBytes);
                write.addListener(done -> unsent.hasRoom());
            }
        }
        long taken = usedHeap() - before;
        assertTrue(memory.held() >= taken * (1 - TOLERANCE), memory.held() + " bytes counted, " + taken + " taken");
        channels.forEach(EmbeddedChannel::flushOutbound);
        assertEquals(0, memory.held());
        channels.forEach(EmbeddedChannel::finishAndReleaseAll);
    }
}
