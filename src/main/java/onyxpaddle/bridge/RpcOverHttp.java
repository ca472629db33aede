package onyxpaddle.bridge;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpStatusClass;
import onyxpaddle.http.AnswerHead;
import onyxpaddle.http.HttpBridge;
import onyxpaddle.http.HttpRequestHead;
import onyxpaddle.node.Answer;
import onyxpaddle.node.Body;
import onyxpaddle.node.Exchange;
import onyxpaddle.node.SharedLimit;
import onyxpaddle.rpc.ReplyHead;
import onyxpaddle.rpc.RpcCallHead;
import onyxpaddle.rpc.MsgPackValues;

/**
 * Translates MessagePack-RPC calls for HTTP servers: a {@code POST} to the path that the procedure maps to, with the params array
 * as its body, unchanged. For a 2xx answer the result is the body itself if it is {@code application/msgpack}, otherwise the body
 * as binary, or nil if it is empty. Any other status becomes the application error {@code {"http": {"status", "type", "body"}}}.
 */
public final class RpcOverHttp implements HttpBridge {
    static final String MSGPACK = "application/msgpack";

    private final SharedLimit.Share bytes;
    private final long maxAnswerBytes;

    /** {@code bytes}: the pool's share of the memory for bodies; {@code maxAnswerBytes}: the maximum size of an answer's body. */
    public RpcOverHttp(SharedLimit.Share bytes, long maxAnswerBytes) {
        this.bytes = bytes;
        this.maxAnswerBytes = maxAnswerBytes;
    }

    @Override
    public HttpRequestHead head(Exchange exchange) {
        if (!(exchange.head instanceof RpcCallHead call)) {
            return (HttpRequestHead) exchange.head;
        }
        HttpHeaders headers = DefaultHttpHeadersFactory.headersFactory().newHeaders();
        headers.set(HttpHeaderNames.CONTENT_TYPE, MSGPACK);
        headers.set(HttpHeaderNames.ACCEPT, MSGPACK);
        String key = call.key() == null ? null : KeyForms.headerValue(call.key());
        if (key != null) {
            headers.set(HttpRequestHead.IDEMPOTENCY_KEY, key);
        }
        if (call.retry()) {
            headers.set("X-Second-Try", "1");
        }
        return new HttpRequestHead(HttpMethod.POST, call.mapped(), headers, maxAnswerBytes, call.caller());
    }

    @Override
    public Answer answer(Exchange exchange, Answer answer) {
        if (!(exchange.head instanceof RpcCallHead)) {
            return answer;
        }
        AnswerHead head = (AnswerHead) answer.head();
        ByteBuf body = answer.body().size() == 0 ? Unpooled.EMPTY_BUFFER : answer.body().whole();
        String type = head.headers().get(HttpHeaderNames.CONTENT_TYPE, "");
        ByteBuf reply = Unpooled.buffer(body.readableBytes() + 128);
        int errorBytes = 1;
        boolean failed = head.status().codeClass() != HttpStatusClass.SUCCESS;
        if (failed) {
            MsgPackValues.writeHttpError(reply, head.status().code(), type, body.readableBytes());
            reply.writeBytes(body);
            errorBytes = reply.readableBytes();
            MsgPackValues.writeNil(reply);
        } else {
            MsgPackValues.writeNil(reply);
            if (!body.isReadable()) {
                MsgPackValues.writeNil(reply);
            } else {
                if (!type.equals(MSGPACK) || !MsgPackValues.isSingleValue(body)) {
                    MsgPackValues.writeBinaryHeader(reply, body.readableBytes());
                }
                reply.writeBytes(body);
            }
        }
        return AnswerReplacement.replace(answer, new ReplyHead(errorBytes, failed), reply, bytes);
    }
}
