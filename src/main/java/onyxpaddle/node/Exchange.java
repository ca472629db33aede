package onyxpaddle.node;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.util.concurrent.Future;
import java.util.ArrayList;
import java.util.List;
import onyxpaddle.Balancing.Effect;

/** One request from a caller, from its head until its answer is given and no attempt is out any more. */
final class Exchange {
    final String id;
    final String requestClass;
    /** Whether running twice does no harm. */
    final boolean repeatable;
    final HttpMethod method;
    final String uri;
    final HttpHeaders headers;
    /** How long the caller waits, from its last byte. */
    final long patience;
    final Body body;
    final ClientConnection client;
    final List<Attempt> attempts = new ArrayList<>(2);
    long deadline;
    int out;
    /** The final answer is given or has begun, or nobody waits for it. */
    boolean over;
    Future<?> guard;

    Exchange(RequestHead head, HttpRequest request, Body body, ClientConnection client) {
        this.id = head.id();
        this.requestClass = head.requestClass().name();
        this.repeatable = head.requestClass().effect() == Effect.SAFE;
        this.method = request.method();
        this.uri = request.uri();
        this.headers = request.headers();
        this.patience = head.patience();
        this.body = body;
        this.client = client;
    }
}
