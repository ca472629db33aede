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
 * Decodes exactly one answer for each request that was sent. Bytes that belong to no request (a duplicate, noise, or an
 * unsolicited answer), parsable or not, would otherwise stay in the decoder and be taken as the answer to the next request;
 * they are discarded and reported by {@link #unsolicited}, and cost the connection. That is only safe because the protocol
 * does not let servers send an answer ahead of its request.
 */
final class AnswerDecoder extends HttpResponseDecoder {
    private final BodyPartMerger merger = new BodyPartMerger(super::decode);
    private boolean awaitingAnswer;
    private boolean lastWasInterim;
    private boolean unsolicited;
    private boolean headOnly;
    private boolean untilClose;
    /** The status line has been read; headers and body follow. */
    private boolean statusLineRead;

    AnswerDecoder(HttpDecoderConfig config) {
        super(config);
    }

    /** Called before a request is written, to let its answer be decoded. {@code headOnly}: the answer has no body. */
    void expect(boolean headOnly) {
        awaitingAnswer = true;
        this.headOnly = headOnly;
        untilClose = false;
        statusLineRead = false;
    }

    /** Netty calls this once the head is complete, before it decides whether the body extends to the end of the connection. */
    @Override
    protected boolean isContentAlwaysEmpty(HttpMessage message) {
        boolean empty = headOnly || super.isContentAlwaysEmpty(message);
        untilClose = !empty && !HttpUtil.isKeepAlive(message) && !HttpUtil.isContentLengthSet(message)
            && !HttpUtil.isTransferEncodingChunked(message);
        return empty;
    }

    /** How many parts of answers it has decoded since this was asked last. */
    int takeSteps() {
        return merger.takeSteps();
    }

    /** Whether bytes arrived while no answer was outstanding. */
    boolean unsolicited() {
        return unsolicited;
    }

    /**
     * Makes Netty parse headers by its stricter rules for requests: for answers it also accepts a header line without a
     * colon. A body that is delimited by the end of the connection is the exception, as only answers may have one.
     */
    @Override
    protected boolean isDecodingRequest() {
        return statusLineRead && !untilClose;
    }

    /** Called with a status line. Up to here the rules for answers apply, for example an empty reason phrase (RFC 9112, 4). */
    @Override
    protected HttpMessage createMessage(String[] initialLine) {
        statusLineRead = true;
        return super.createMessage(initialLine);
    }

    @Override
    protected void decode(ChannelHandlerContext context, ByteBuf in, List<Object> out) throws Exception {
        if (!awaitingAnswer) {
            unsolicited |= in.isReadable();
            in.skipBytes(in.readableBytes());
            return;
        }
        int before = out.size();
        merger.decode(context, in, out);
        for (int i = before; i < out.size(); i++) {
            if (out.get(i) instanceof HttpResponse response) {
                lastWasInterim = response.status().codeClass() == HttpStatusClass.INFORMATIONAL;
            }
            if (out.get(i) instanceof LastHttpContent) {
                awaitingAnswer = lastWasInterim;
                statusLineRead = false;
            }
        }
    }
}
