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
import onyxpaddle.rpc.RpcHead;
import onyxpaddle.rpc.Values;

/**
 * Calls that go to servers of HTTP: {@code POST} to the path that the procedure is mapped to, the parameters' array as
 * body, byte for byte. Of the answers, a body of {@code application/msgpack} with a status of 2xx is the result as it is,
 * any other body of 2xx is a binary result, none is nil; any other status is the application's error {@code {"http":
 * {"status", "type", "body"}}}.
 */
public final class RpcOverHttp implements HttpBridge {
    static final String MSGPACK = "application/msgpack";

    private final SharedLimit.Share bytes;
    private final long largest;

    /** {@code bytes}: the pool's memory for bodies; {@code largest}: the most bytes of one. */
    public RpcOverHttp(SharedLimit.Share bytes, long largest) {
        this.bytes = bytes;
        this.largest = largest;
    }

    @Override
    public HttpRequestHead head(Exchange exchange) {
        if (!(exchange.head instanceof RpcHead call)) {
            return (HttpRequestHead) exchange.head;
        }
        HttpHeaders headers = DefaultHttpHeadersFactory.headersFactory().newHeaders();
        headers.set(HttpHeaderNames.CONTENT_TYPE, MSGPACK);
        headers.set(HttpHeaderNames.ACCEPT, MSGPACK);
        if (call.key() != null) {
            headers.set("Idempotency-Key", headerText(call.key()));
        }
        if (call.retry()) {
            headers.set("X-Second-Try", "1");
        }
        return new HttpRequestHead(HttpMethod.POST, call.mapped(), headers, largest, call.caller());
    }

    /** A key may be any text; what a header can't hold goes percent-encoded (RFC 3986, 2.1), which keeps keys apart. */
    private static String headerText(String key) {
        StringBuilder text = new StringBuilder();
        for (byte b : key.getBytes(java.nio.charset.StandardCharsets.UTF_8)) {
            if (b > ' ' && b < 0x7f && b != '%') {
                text.append((char) b);
            } else {
                text.append(String.format("%%%02X", b & 0xff));
            }
        }
        return text.toString();
    }

    @Override
    public Answer answer(Exchange exchange, Answer answer) {
        if (!(exchange.head instanceof RpcHead)) {
            return answer;
        }
        AnswerHead head = (AnswerHead) answer.head();
        ByteBuf body = answer.body().size() == 0 ? Unpooled.EMPTY_BUFFER : answer.body().whole();
        String type = head.headers().get(HttpHeaderNames.CONTENT_TYPE, "");
        ByteBuf reply = Unpooled.buffer(body.readableBytes() + 128);
        int errorBytes = 1;
        boolean failed = head.status().codeClass() != HttpStatusClass.SUCCESS;
        if (failed) {
            Values.httpError(reply, head.status().code(), type, body.readableBytes());
            reply.writeBytes(body);
            errorBytes = reply.readableBytes();
            Values.nil(reply);
        } else {
            Values.nil(reply);
            if (!body.isReadable()) {
                Values.nil(reply);
            } else {
                if (!type.equals(MSGPACK) || !Values.whole(body)) {
                    Values.binaryHead(reply, body.readableBytes());
                }
                reply.writeBytes(body);
            }
        }
        return AnswerReplacement.by(answer, new ReplyHead(errorBytes, failed), reply, bytes);
    }
}
