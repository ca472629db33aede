package onyxpaddle.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.List;

/**
 * Decodes the requests of a client and tells how much input of an incomplete head it holds. Not Netty's codec for servers: that closes the
 * connection when a client pipelines much, and loses the request in progress.
 */
final class RequestDecoder extends HttpRequestDecoder {
    private int bytesBehindLastPart;

    private final BoundedHttpHeaders.Factory fields;
    private final BodyPartMerger merger = new BodyPartMerger(super::decode);

    RequestDecoder(HttpDecoderConfig config) {
        this(config, new BoundedHttpHeaders.Factory());
    }

    private RequestDecoder(HttpDecoderConfig config, BoundedHttpHeaders.Factory fields) {
        super(BoundedHttpHeaders.limit(config, fields));
        this.fields = fields;
    }

    @Override
    protected void decode(ChannelHandlerContext context, ByteBuf in, List<Object> out) throws Exception {
        int before = out.size();
        merger.decode(context, in, out);
        if (out.size() > before) {
            bytesBehindLastPart = in.readableBytes();
            if (out.get(out.size() - 1) instanceof HttpRequest || out.get(out.size() - 1) instanceof LastHttpContent) {
                fields.complete();
            }
        }
    }

    /** How many parts of requests it has decoded since this was asked last. */
    int takeSteps() {
        return merger.takeSteps();
    }

    /** How many fields it has decoded of a head, or of trailers, that are not complete. */
    int incompleteFields() {
        return fields.incompleteFields();
    }

    /** How many of the bytes that it was given followed the last part that it decoded. */
    int bytesBehindLastPart() {
        return bytesBehindLastPart;
    }
}
