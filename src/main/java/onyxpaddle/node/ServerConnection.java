package onyxpaddle.node;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import onyxpaddle.Balancing.Outcome;

/**
 * One connection to a server. It carries one attempt at a time, and maps what comes back to the outcomes of the
 * protocol: what breaks before the request's last byte is written has never run, what breaks after it may have.
 */
final class ServerConnection extends ChannelInboundHandlerAdapter {
    /** Answers up to this are held whole, so that a broken one can be tried again; longer ones pass through. */
    static final int HELD = 64 * 1024;
    /** A server pauses within an answer for 0.1 s at most; one that says nothing for so long has broken off. */
    private static final long LONGEST_PAUSE = 5_000_000_000L;
    /** What is read off after an answer that is not passed on, before the connection is closed instead. */
    private static final int MOST_SKIPPED = 64 * 1024;

    final String server;
    final Channel channel;
    long idleSince;
    private final ServerConnections all;
    /** The attempt that waits for its outcome, or null. */
    private Attempt attempt;
    private boolean exchanging;
    private boolean requestWritten;
    private int nextPiece;
    private boolean interim;
    private boolean answering;
    private boolean reusable;
    private int skipped;
    private ServerAnswer answer;
    private ClientConnection sink;
    private long progressAt;

    ServerConnection(ServerConnections all, String server, Channel channel) {
        this.all = all;
        this.server = server;
        this.channel = channel;
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
        requestWritten = false;
        answering = false;
        reusable = false;
        skipped = 0;
        nextPiece = 0;
        progressAt = all.clock.now();
        Exchange x = next.exchange;
        HttpHeaders headers = Headers.forServer(x, channel.remoteAddress(), next.until - progressAt);
        ChannelFuture last;
        if (x.body.size() <= HELD) {
            ByteBuf body = x.body.size() == 0 ? Unpooled.EMPTY_BUFFER : x.body.whole();
            last = channel.writeAndFlush(new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, x.method, x.uri, body,
                headers, io.netty.handler.codec.http.EmptyHttpHeaders.INSTANCE));
            last.addListener(f -> written(next, f.isSuccess()));
        } else {
            channel.write(new DefaultHttpRequest(HttpVersion.HTTP_1_1, x.method, x.uri, headers));
            writePieces();
        }
    }

    /** Writes on while the connection takes it, so that a long body is never copied out all at once. */
    private void writePieces() {
        Attempt current = attempt;
        while (current != null && attempt == current && nextPiece < current.exchange.body.pieces()
                && channel.isWritable()) {
            ByteBuf piece = current.exchange.body.piece(nextPiece++);
            progressAt = all.clock.now();
            channel.writeAndFlush(new DefaultHttpContent(piece));
            if (nextPiece == current.exchange.body.pieces()) {
                channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT)
                    .addListener(f -> written(current, f.isSuccess()));
            }
        }
    }

    private void written(Attempt of, boolean success) {
        if (success && attempt == of) {
            of.written = true;
            requestWritten = true;
            progressAt = all.clock.now();
        } else if (!success) {
            channel.close();
        }
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext context) {
        if (attempt != null && !attempt.written) {
            writePieces();
        }
    }

    // ---- the answer ----

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        try {
            progressAt = all.clock.now();
            if (!exchanging) {
                // Bytes on an idle connection answer nothing: whatever follows them could not be trusted.
                close();
                return;
            }
            if (message instanceof HttpResponse response) {
                head(response);
            }
            if (message instanceof HttpContent content) {
                if (content.decoderResult().isFailure()) {
                    end(Outcome.RESET);
                    close();
                } else if (interim) {
                    interim = !(content instanceof LastHttpContent);
                } else {
                    content(content);
                }
            }
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    private void head(HttpResponse response) {
        if (response.decoderResult().isFailure()) {
            end(Outcome.ERROR);
            close();
            return;
        }
        int status = response.status().code();
        if (response.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
            interim = true;
            return;
        }
        answering = true;
        reusable = HttpUtil.isKeepAlive(response);
        if (status == 200) {
            long length = HttpUtil.getContentLength(response, -1L);
            answer = new ServerAnswer(response.headers().get(HttpHeaderNames.CONTENT_TYPE), length,
                new Body(all.budget, length));
            return;
        }
        // A refusal counts as never run only with the server's own word for it; a bare 503 may have run.
        boolean neverRan = (status == 503 || status == 504)
            && "1".equals(response.headers().get("X-Never-Ran"));
        end(neverRan ? Outcome.FULL : Outcome.ERROR);
    }

    private void content(HttpContent content) {
        if (sink != null) {
            sink.streamed(content.content().retain());
            if (!sink.takesMore()) {
                channel.config().setAutoRead(false);
            }
        } else if (answer != null && attempt != null) {
            hold(content.content());
        } else {
            skipped += content.content().readableBytes();
            if (skipped > MOST_SKIPPED) {
                close();
            }
        }
        if (content instanceof LastHttpContent) {
            complete();
        }
    }

    private void hold(ByteBuf bytes) {
        boolean fits = answer.length() <= HELD && answer.body().size() + bytes.readableBytes() <= HELD;
        if (fits && answer.body().add(bytes)) {
            return;
        }
        // Too long to hold, or no room left for it: it passes through from here on.
        ClientConnection client = attempt.exchange.client;
        if (!all.dispatcher.streamBegins(attempt)) {
            return;
        }
        sink = client;
        sink.streamBegins(this, answer);
        if (answer.body().size() > 0) {
            sink.streamed(answer.body().whole());
        }
        if (bytes.isReadable()) {
            sink.streamed(bytes.retain());
        }
        if (!sink.takesMore()) {
            channel.config().setAutoRead(false);
        }
    }

    private void complete() {
        ClientConnection to = sink;
        sink = null;
        if (to != null) {
            to.streamEnds(true);
        }
        end(Outcome.OK);
        exchanging = false;
        answering = false;
        if (reusable && requestWritten && channel.isActive()) {
            channel.config().setAutoRead(true);
            all.release(this);
        } else {
            close();
        }
    }

    /** Ends the attempt, if it waits still, and lets go of what was held of the answer. */
    private void end(Outcome outcome) {
        Attempt current = attempt;
        ServerAnswer held = answer;
        ClientConnection to = sink;
        attempt = null;
        answer = null;
        sink = null;
        if (to != null) {
            to.streamEnds(false);
        }
        if (current != null) {
            all.dispatcher.ended(current, outcome, current.streaming ? null : held);
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

    /** The client of the stream has room again. */
    void resume() {
        progressAt = all.clock.now();
        channel.config().setAutoRead(true);
    }

    /** The client of the stream has gone. */
    void sinkGone() {
        sink = null;
        end(Outcome.CANCELLED);
        close();
    }

    /** Ends a stream that its server has left hanging; what waits for its first byte has a time-out of its own. */
    void checkProgress(long now) {
        boolean hanging = sink != null ? channel.config().isAutoRead() : exchanging && attempt == null;
        if (hanging && now - progressAt > LONGEST_PAUSE) {
            broken();
            close();
        }
    }

    private void broken() {
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
