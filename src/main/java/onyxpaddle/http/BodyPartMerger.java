package onyxpaddle.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.List;

/**
 * Merges the parts of a body that a decoder finds in one read: a peer that sends chunks of one byte would otherwise cost an event, and a
 * write to the other side, for each.
 */
final class BodyPartMerger {
    /** Decodes the next part, if there is a whole one. */
    interface Decoder {
        void decode(ChannelHandlerContext context, ByteBuf in, List<Object> out) throws Exception;
    }

    private final Decoder decoder;
    private int steps;

    BodyPartMerger(Decoder decoder) {
        this.decoder = decoder;
    }

    /** Decodes the next message, and, if that is a part of a body, all parts that follow it in the input. */
    void decode(ChannelHandlerContext context, ByteBuf in, List<Object> out) throws Exception {
        int first = out.size();
        step(context, in, out);
        ByteBuf merged = null;
        while (out.size() == first + 1 && isPart(out.get(first)) && in.isReadable()) {
            int before = in.readerIndex();
            step(context, in, out);
            boolean more = out.size() > first + 1;
            if (more && isPart(out.get(first + 1))) {
                merged = merged == null ? mergeInto(in, out, first, context) : merged;
                HttpContent part = (HttpContent) out.remove(first + 1);
                merged.writeBytes(part.content());
                part.release();
            } else if (!more && in.readerIndex() == before) {
                return;
            }
        }
    }

    /** Replaces the part by one with room for all that the input can hold. */
    private static ByteBuf mergeInto(ByteBuf in, List<Object> out, int index, ChannelHandlerContext context) {
        HttpContent part = (HttpContent) out.get(index);
        HttpContent next = (HttpContent) out.get(index + 1);
        int capacity = part.content().readableBytes() + next.content().readableBytes() + in.readableBytes();
        ByteBuf merged = context.alloc().heapBuffer(capacity).writeBytes(part.content());
        part.release();
        out.set(index, new DefaultHttpContent(merged));
        return merged;
    }

    private void step(ChannelHandlerContext context, ByteBuf in, List<Object> out) throws Exception {
        steps++;
        decoder.decode(context, in, out);
    }

    private static boolean isPart(Object message) {
        return message instanceof HttpContent part && !(message instanceof LastHttpContent) && part.decoderResult().isSuccess();
    }

    /** How many parts have been decoded since this was asked last. */
    int takeSteps() {
        int taken = steps;
        steps = 0;
        return taken;
    }
}
