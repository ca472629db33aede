package onyxpaddle.node;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.util.List;
import onyxpaddle.Balancing.Outcome;

/**
 * One connection to a server. It carries one attempt at a time, and maps what comes back to the outcomes of the
 * protocol: what breaks before the request's last byte is written has never run, what breaks after it may have.
 */
final class ServerConnection extends ChannelInboundHandlerAdapter {
    /** What is left of an answer that ended its attempt at the head comes within this, or not at all. */
    private static final long LONGEST_REST = 5_000_000_000L;
    /** Interim answers before the final one: a server has a use for a few. */
    private static final int MOST_INTERIM = 16;

    final String server;
    final Channel channel;
    long idleSince;
    private final ServerConnections all;
    /** The attempt that waits for its outcome, or null. */
    private Attempt attempt;
    private final AnswerDecoder decoder;
    /** A request is out and the last byte of its answer has not come. */
    private boolean exchanging;
    private boolean answered;
    private boolean reusable;
    private int interim;
    private long skipped;
    private ServerAnswer answer;
    private long startedAt;
    private boolean kept;

    ServerConnection(ServerConnections all, String server, Channel channel) {
        this.all = all;
        this.server = server;
        this.channel = channel;
        decoder = new AnswerDecoder(new HttpDecoderConfig().setMaxChunkSize(Sockets.READ_SIZE));
        channel.pipeline().addLast(new HttpRequestEncoder(), decoder, this);
    }

    boolean usable() {
        return channel.isActive() && !exchanging;
    }

    void close() {
        channel.close();
    }

    // ---- the request ----

    void start(Attempt next) {
        attempt = next;
        next.connection = this;
        exchanging = true;
        answered = false;
        reusable = false;
        interim = 0;
        skipped = 0;
        startedAt = all.clock.now();
        kept = idleSince > 0;
        decoder.expect();
        Exchange x = next.exchange;
        HttpHeaders headers = Headers.forServer(x, channel.remoteAddress(), next.until - startedAt);
        ByteBuf body = x.body.size() == 0 ? Unpooled.EMPTY_BUFFER : x.body.whole();
        channel.writeAndFlush(new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, x.method, x.uri, body, headers,
            EmptyHttpHeaders.INSTANCE)).addListener(f -> written(next, f.isSuccess()));
    }

    private void written(Attempt of, boolean success) {
        if (!success) {
            channel.close();
        } else if (attempt == of) {
            of.written = true;
        }
    }

    // ---- the answer ----

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        try {
            boolean unasked = !exchanging || attempt == null && !answered;
            if (unasked || message instanceof HttpObject part && part.decoderResult().isFailure()) {
                spoilt();
                return;
            }
            if (message instanceof HttpResponse response) {
                head(response);
            }
            if (message instanceof HttpContent content && answered) {
                content(content);
            }
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    private void head(HttpResponse response) {
        int status = response.status().code();
        if (response.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
            if (++interim > MOST_INTERIM || status == HttpResponseStatus.SWITCHING_PROTOCOLS.code()) {
                spoilt();
            }
            return;
        }
        answered = true;
        reusable = HttpUtil.isKeepAlive(response);
        if (kept) {
            all.doubt.used(false);
        }
        if (status == 200) {
            long length = HttpUtil.getContentLength(response, -1L);
            if (!attempt.written || length > Body.LARGEST || !wholeCanBeTold(response, length)) {
                spoilt();
            } else {
                answer = new ServerAnswer(response.headers().get(HttpHeaderNames.CONTENT_TYPE),
                    new Body(all.budget, length));
            }
            return;
        }
        // A refusal counts as never run only with the server's own word for it; a bare 503 may have run.
        boolean neverRan = (status == 503 || status == 504)
            && "1".equals(response.headers().get("X-Never-Ran"));
        // Guards a server's standing against clients that get nonsense as far as here.
        boolean clientsFault = response.status().codeClass() == HttpStatusClass.CLIENT_ERROR;
        end(neverRan ? Outcome.FULL : clientsFault ? Outcome.REJECTED : Outcome.ERROR);
    }

    /** Without a length of its own or chunks, an answer that broke off would look like a short one. */
    private static boolean wholeCanBeTold(HttpResponse response, long length) {
        List<String> codings = response.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING);
        return codings.isEmpty() ? length >= 0
            : codings.size() == 1 && HttpHeaderValues.CHUNKED.contentEqualsIgnoreCase(codings.get(0).trim());
    }

    private void content(HttpContent content) {
        skipped += content.content().readableBytes();
        if (skipped > Body.LARGEST || answer != null && !answer.body().add(content.content())) {
            spoilt();
        } else if (content instanceof LastHttpContent) {
            end(Outcome.OK);
            exchanging = false;
        }
    }

    /**
     * What has come is not the answer to the request, or not wholly. The request may have run, and where the next
     * answer would begin is not known. Guards against what can't be parsed, is longer than the protocol allows,
     * or doesn't tell its own end; it should cover any answer that could be served cut, mixed up or never ended.
     * It would do harm where a good server framed its answers loosely: each would count as an error of its own.
     */
    private void spoilt() {
        exchanging = false;
        answered = false;
        end(attempt != null && !attempt.written ? Outcome.CONNECT_FAILED : Outcome.ERROR);
        close();
    }

    /** All that has been read so far is dealt with: only now is it known whether an answer came alone. */
    @Override
    public void channelReadComplete(ChannelHandlerContext context) {
        if (decoder.surplus()) {
            close();
        } else if (answered && !exchanging) {
            answered = false;
            if (reusable && channel.isActive()) {
                all.release(this);
            } else {
                close();
            }
        }
    }

    /** Ends the attempt, if it waits still, and lets go of what was held of the answer. */
    private void end(Outcome outcome) {
        Attempt current = attempt;
        ServerAnswer held = answer;
        attempt = null;
        answer = null;
        if (current != null) {
            all.dispatcher.ended(current, outcome, held);
        }
        if (held != null) {
            held.body().release();
        }
    }

    /** The attempt is given up by its owner, who says how it ended. */
    void abandon() {
        attempt = null;
        end(Outcome.CANCELLED);
        close();
    }

    /** Closes what has not brought the rest of an answer that nobody waits for; attempts have their own time-out. */
    void checkProgress(long now) {
        if (exchanging && attempt == null && now - startedAt > LONGEST_REST) {
            close();
        }
    }

    private void broken() {
        if (kept && attempt != null && !answered && all.clock.now() - startedAt < ReuseDoubt.SOON) {
            all.doubt.used(true);
        }
        end(attempt != null && !attempt.written ? Outcome.CONNECT_FAILED : Outcome.RESET);
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        broken();
        all.closed(this);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        if (!(cause instanceof java.io.IOException)) {
            Log.failure("connection to server " + server, cause);
        }
        close();
    }
}
