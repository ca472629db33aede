package onyxpaddle.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.List;

/**
 * Decodes one answer for each request that was sent, and nothing besides. Guards against bytes that belong to no
 * request: a second copy, noise, or an answer sent unasked, which would otherwise wait in the decoder and be taken
 * as the answer to the next request. It should cover whatever a peer sends too much, parsable or not. It costs the
 * connection, so it would do harm where servers were to send ahead, which this protocol does not allow.
 */
final class AnswerDecoder extends HttpResponseDecoder {
    private boolean expecting;
    private boolean interim;
    private boolean surplus;
    private boolean bodiless;
    private boolean untilClose;
    /** The status line is read, and what follows is headers and a body. */
    private boolean lineRead;

    AnswerDecoder(HttpDecoderConfig config) {
        super(config);
    }

    /** A request is about to be written: its answer may be decoded. {@code bodiless}: it has a head only. */
    void expect(boolean bodiless) {
        expecting = true;
        this.bodiless = bodiless;
        untilClose = false;
        lineRead = false;
    }

    /** Netty asks this once a head is read whole, and then whether to read on until the connection ends. */
    @Override
    protected boolean isContentAlwaysEmpty(HttpMessage message) {
        boolean empty = bodiless || super.isContentAlwaysEmpty(message);
        untilClose = !empty && !HttpUtil.isKeepAlive(message) && !HttpUtil.isContentLengthSet(message)
            && !HttpUtil.isTransferEncodingChunked(message);
        return empty;
    }

    /** Whether bytes have come that no request called for. */
    boolean surplus() {
        return surplus;
    }

    /**
     * Has heads read by the strict rules for requests: for answers Netty takes a line without a colon, too. A body that
     * ends with its connection is the one thing that only answers have.
     */
    @Override
    protected boolean isDecodingRequest() {
        return lineRead && !untilClose;
    }

    /** Called with a status line. Up to here an answer may do what a request may not, such as give no reason (RFC 9112, 4). */
    @Override
    protected HttpMessage createMessage(String[] initialLine) {
        lineRead = true;
        return super.createMessage(initialLine);
    }

    @Override
    protected void decode(ChannelHandlerContext context, ByteBuf in, List<Object> out) throws Exception {
        if (!expecting) {
            surplus |= in.isReadable();
            in.skipBytes(in.readableBytes());
            return;
        }
        int before = out.size();
        super.decode(context, in, out);
        for (int i = before; i < out.size(); i++) {
            if (out.get(i) instanceof HttpResponse response) {
                interim = response.status().codeClass() == HttpStatusClass.INFORMATIONAL;
            }
            if (out.get(i) instanceof LastHttpContent) {
                expecting = interim;
                lineRead = false;
            }
        }
    }
}
