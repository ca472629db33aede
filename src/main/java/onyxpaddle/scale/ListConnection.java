package onyxpaddle.scale;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.QueryStringDecoder;
import io.netty.util.concurrent.Future;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** One connection of a node to the list service: one call at a time, each perhaps a watch. */
final class ListConnection extends SimpleChannelInboundHandler<FullHttpRequest> {
    /** The protocol's longest watch, in milliseconds. */
    private static final long LONGEST_WATCH_MS = 60_000;
    private static final byte[] NOTHING = {};

    private final ListServer server;
    private final DoorAddress door;
    private ChannelHandlerContext context;
    private long after;
    private Future<?> end;

    ListConnection(ListServer server, DoorAddress door) {
        this.server = server;
        this.door = door;
    }

    @Override
    public void channelActive(ChannelHandlerContext active) {
        context = active;
        server.opened(door, this);
    }

    @Override
    public void channelInactive(ChannelHandlerContext inactive) {
        stopWaiting();
        server.closed(door, this);
    }

    @Override
    protected void channelRead0(ChannelHandlerContext reading, FullHttpRequest request) {
        if (server.isCut(door.node())) {
            return;
        }
        server.called();
        server.counts(door).call(System.nanoTime());
        if (server.isDown()) {
            turnAway();
            return;
        }
        QueryStringDecoder query = new QueryStringDecoder(request.uri());
        after = number(query, "after", -1);
        long wait = Math.min(LONGEST_WATCH_MS, number(query, "wait_ms", 0));
        if (after < 0) {
            whole();
        } else if (wait > 0 && !server.table(door.service()).hasNewsFor(after) && server.fault() != SeededFault.NO_WAIT) {
            server.waits(door, this, true);
            end = reading.executor().schedule(this::news, wait, TimeUnit.MILLISECONDS);
        } else {
            news();
        }
    }

    private static long number(QueryStringDecoder query, String name, long without) {
        List<String> values = query.parameters().getOrDefault(name, List.of());
        return values.isEmpty() || !values.get(0).matches("[0-9]{1,15}") ? without : Long.parseLong(values.get(0));
    }

    /** Answers the call at hand with what is new; a node that is cut off is answered nothing. */
    void news() {
        stopWaiting();
        if (server.isCut(door.node())) {
            return;
        }
        ListTable.Answer answer = server.table(door.service()).since(after);
        if (answer.whole() || server.fault() == SeededFault.WHOLE_LISTS) {
            whole();
            return;
        }
        if (!answer.lines().isEmpty()) {
            server.counts(door).difference();
        }
        answer(HttpResponseStatus.OK, ListJson.write(answer));
    }

    private void whole() {
        if (!server.makesWhole()) {
            turnAway();
            return;
        }
        server.counts(door).whole();
        answer(HttpResponseStatus.OK, ListJson.write(server.table(door.service()).whole()));
    }

    /** Answers the call at hand 503. */
    void turnAway() {
        stopWaiting();
        if (!server.isCut(door.node())) {
            server.counts(door).turnedAway();
            answer(HttpResponseStatus.SERVICE_UNAVAILABLE, NOTHING);
        }
    }

    void close() {
        context.close();
    }

    private void stopWaiting() {
        if (end != null) {
            end.cancel(false);
            end = null;
        }
        server.waits(door, this, false);
    }

    private void answer(HttpResponseStatus status, byte[] body) {
        DefaultFullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, Unpooled.wrappedBuffer(body));
        response.headers().set(HttpHeaderNames.CONTENT_TYPE, "application/json").set(HttpHeaderNames.CONTENT_LENGTH, body.length);
        context.writeAndFlush(response);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext failed, Throwable cause) {
        failed.close();
    }
}
