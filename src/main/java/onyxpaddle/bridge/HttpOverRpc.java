package onyxpaddle.bridge;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import onyxpaddle.http.AnswerHead;
import onyxpaddle.http.HttpRequestHead;
import onyxpaddle.node.Answer;
import onyxpaddle.node.Body;
import onyxpaddle.node.Exchange;
import onyxpaddle.node.SharedLimit;
import onyxpaddle.rpc.ReplyHead;
import onyxpaddle.rpc.RpcBridge;
import onyxpaddle.rpc.RpcHead;
import onyxpaddle.rpc.Values;

/**
 * Requests of HTTP that go to servers of MessagePack-RPC: the route names the procedure, the body is the parameters'
 * array, byte for byte, or empty for none. A result is answered 200 with it as body, of {@code application/msgpack}; an
 * application's error 422 with the error as body and {@code X-Rpc-Error: 1}; an error of a further node 502.
 */
public final class HttpOverRpc implements RpcBridge {
    private static final String ERROR = "X-Rpc-Error";

    private final SharedLimit.Share bytes;

    /** {@code bytes}: the pool's memory for bodies. */
    public HttpOverRpc(SharedLimit.Share bytes) {
        this.bytes = bytes;
    }

    /** Whether a request's body can go to a server of MessagePack-RPC. */
    public static boolean acceptsBody(Body body) {
        return body.size() == 0 || Values.items(body.whole()) >= 0;
    }

    @Override
    public RpcHead head(Exchange exchange) {
        if (!(exchange.head instanceof HttpRequestHead request)) {
            return (RpcHead) exchange.head;
        }
        int params = exchange.body.size() == 0 ? 0 : Values.items(exchange.body.whole());
        return RpcHead.of(request.mapped(), params, request.headers().get("Idempotency-Key"),
            "1".equals(request.headers().get("X-Second-Try")), request.caller());
    }

    @Override
    public Answer answer(Exchange exchange, Answer answer) {
        if (!(exchange.head instanceof HttpRequestHead)) {
            return answer;
        }
        ReplyHead head = (ReplyHead) answer.head();
        ByteBuf reply = answer.body().whole();
        ByteBuf part = head.failed() ? reply.slice(0, head.errorBytes())
            : reply.slice(head.errorBytes(), reply.readableBytes() - head.errorBytes());
        HttpHeaders headers = DefaultHttpHeadersFactory.headersFactory().newHeaders();
        headers.set(HttpHeaderNames.CONTENT_TYPE, RpcOverHttp.MSGPACK);
        HttpResponseStatus status = HttpResponseStatus.OK;
        if (head.failed()) {
            headers.set(ERROR, "1");
            status = Values.isOwnError(part) ? HttpResponseStatus.BAD_GATEWAY : HttpResponseStatus.UNPROCESSABLE_ENTITY;
        }
        return AnswerReplacement.by(answer, new AnswerHead(status, headers, false), Unpooled.copiedBuffer(part), bytes);
    }
}
