package onyxpaddle.standin;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpChunkedInput;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.stream.ChunkedStream;
import io.netty.handler.stream.ChunkedWriteHandler;
import java.io.InputStream;
import java.net.SocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;
import onyxpaddle.standin.FaultScript.Fault;

/**
 * An HTTP server on loopback that stands in for a backend or an application. It answers each request with its own name and the
 * request line, after a delay, and counts the executions of each request by the {@code X-Effect} header, which callers make
 * unique; requests without the header only add to the total. It can be frozen, and its answers can have faults.
 *
 * <p>A request can set the answer with the headers {@code X-Answer-Status}, {@code X-Answer-Bytes} and {@code X-Answer-Delay}
 * (milliseconds). With {@code X-Answer-Tiny-Chunks} that many chunks of one byte follow an answer, which is then in chunked coding.
 */
public final class StandInServer extends StandIn<StandInServer> {
    private static final int MAX_BODY_BYTES = 64 << 20;
    /** Larger answers are streamed instead of built in memory, and have no faults. */
    private static final int MAX_BUFFERED_BYTES = 1 << 20;
    private static final String TINY_CHUNKS = "X-Answer-Tiny-Chunks";
    private static final int CHUNK_BYTES = 64 * 1024;

    /** Notified of received and executed requests, on the event loop of the server. */
    public interface Watcher {
        /** A request with these headers has been received completely. */
        default void headersReceived(HttpHeaders headers) {
        }

        /** A request with that {@code X-Effect} has been received completely, from that address. */
        void requestReceived(String effect, SocketAddress from);

        /** The request is being executed. */
        void requestExecuted(String effect);
    }

    private volatile boolean silent;
    private volatile Watcher watcher;
    /** The number of requests executed at once, 0 for no limit. */
    private volatile int slots;
    private volatile int queueCapacity;
    private volatile boolean dropsCancelled;
    /** Accessed on the event loop only, as is the queue. */
    private int busy;
    private final ArrayDeque<Runnable> queue = new ArrayDeque<>();
    private volatile int status = 200;

    /** {@code port}: 0 for a free one. */
    public StandInServer(String name, int port) throws Exception {
        this(name, port, new ExecutionCounter());
    }

    /** {@code executions}: the counter of executed requests, which several stand-ins may share. */
    public StandInServer(String name, int port, ExecutionCounter executions) throws Exception {
        super(name, executions);
        listen(port);
    }

    @Override
    StandInServer self() {
        return this;
    }

    @Override
    ChannelHandler[] handlers() {
        return new ChannelHandler[] {new HttpServerCodec(), new HttpObjectAggregator(MAX_BODY_BYTES), new ChunkedWriteHandler(),
            new RequestHandler()};
    }

    /** Executes requests without answering them, or answers again. */
    public StandInServer silent(boolean on) {
        silent = on;
        return this;
    }

    /** Sets the status of answers to requests without {@code X-Answer-Status}. */
    public StandInServer status(int code) {
        status = code;
        return this;
    }

    /**
     * Executes at most {@code atOnce} requests at once, queues {@code waiting} more, and refuses further ones. If {@code drops}, a
     * queued request whose caller has closed its connection is not executed and takes no slot.
     */
    public StandInServer slots(int atOnce, int waiting, boolean drops) {
        queueCapacity = waiting;
        dropsCancelled = drops;
        slots = atOnce;
        return this;
    }

    /** Sets the watcher of further requests. */
    public StandInServer watcher(Watcher listener) {
        watcher = listener;
        return this;
    }

    /** How often the request with this {@code X-Effect} was executed. */
    public int runs(String effect) {
        return executions.runs(effect);
    }

    /** The number of executions by {@code X-Effect}. */
    public Map<String, AtomicInteger> allRuns() {
        return executions.allRuns();
    }

    /** The number of all executed requests. */
    public long served() {
        return executions.served();
    }

    /** A stream of one repeated byte with a given length. */
    private static final class RepeatedByteStream extends InputStream {
        private long left;

        RepeatedByteStream(long length) {
            left = length;
        }

        @Override
        public int read() {
            return left-- > 0 ? 'x' : -1;
        }

        @Override
        public int read(byte[] into, int from, int most) {
            int count = (int) Math.min(left, most);
            Arrays.fill(into, from, from + count, (byte) 'x');
            left -= count;
            return count == 0 ? -1 : count;
        }

        @Override
        public int available() {
            return (int) Math.min(left, Integer.MAX_VALUE);
        }
    }

    private final class RequestHandler extends SimpleChannelInboundHandler<FullHttpRequest> {
        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
            if (request.decoderResult().isFailure()) {
                context.close();
                return;
            }
            boolean keep = HttpUtil.isKeepAlive(request);
            long large = number(request, "X-Answer-Bytes", 0);
            if (large > MAX_BUFFERED_BYTES) {
                executions.countExecution(request.headers().get("X-Effect"));
                stream(context, large, keep);
                return;
            }
            String effect = request.headers().get("X-Effect");
            if (watcher != null) {
                watcher.headersReceived(request.headers());
                watcher.requestReceived(effect, context.channel().remoteAddress());
            }
            if (refuses || slots > 0 && busy >= slots && queue.size() >= queueCapacity) {
                DefaultFullHttpResponse refusal = answer(503, "full\n");
                refusal.headers().set("X-Never-Ran", "1");
                write(context, refusal, keep);
                return;
            }
            DefaultFullHttpResponse response = response(request);
            long millis = number(request, "X-Answer-Delay", nextDelay());
            if (slots == 0) {
                execute(context, effect, response, millis, keep, () -> { });
            } else if (busy < slots) {
                busy++;
                execute(context, effect, response, millis, keep, this::startNext);
            } else {
                queue.add(() -> {
                    if (context.channel().isActive() || !dropsCancelled) {
                        execute(context, effect, response, millis, keep, this::startNext);
                    } else {
                        response.release();
                        startNext();
                    }
                });
            }
        }

        /** Starts the request that has waited longest, or frees the slot. */
        private void startNext() {
            Runnable queued = queue.poll();
            if (queued == null) {
                busy--;
            } else {
                queued.run();
            }
        }

        private void execute(ChannelHandlerContext context, String effect, DefaultFullHttpResponse response, long millis, boolean keep,
                Runnable whenDone) {
            executions.countExecution(effect);
            if (watcher != null) {
                watcher.requestExecuted(effect);
            }
            if (silent) {
                response.release();
                return;
            }
            if (response.headers().contains(HttpHeaderNames.TRANSFER_ENCODING)) {
                after(context, millis, () -> writeTinyChunks(context, response));
                return;
            }
            Fault fault = faults.next();
            after(context, millis + (fault == Fault.DELAY ? faults.delayMillis() : 0), () -> {
                writeWithFault(context, response, keep, fault);
                whenDone.run();
            });
        }

        /** Writes a large answer as fast as its reader takes it. */
        private void stream(ChannelHandlerContext context, long length, boolean keep) {
            DefaultHttpResponse head = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
            head.headers().set(HttpHeaderNames.CONTENT_LENGTH, length);
            HttpUtil.setKeepAlive(head, keep);
            context.write(head);
            context.writeAndFlush(new HttpChunkedInput(new ChunkedStream(new RepeatedByteStream(length), CHUNK_BYTES)));
        }

        private static void writeTinyChunks(ChannelHandlerContext context, DefaultFullHttpResponse response) {
            int count = Integer.parseInt(response.headers().get(TINY_CHUNKS));
            String text = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + Integer.toHexString(response.content().readableBytes())
                + "\r\n" + response.content().toString(StandardCharsets.US_ASCII) + "\r\n" + "1\r\nx\r\n".repeat(count) + "0\r\n\r\n";
            response.release();
            context.pipeline().firstContext().writeAndFlush(Unpooled.copiedBuffer(text, StandardCharsets.US_ASCII));
        }

        private void writeWithFault(ChannelHandlerContext context, DefaultFullHttpResponse response, boolean keep, Fault fault) {
            byte[] head = ("HTTP/1.1 200 OK\r\nContent-Length: " + response.content().readableBytes() + "\r\n\r\n")
                .getBytes(StandardCharsets.US_ASCII);
            // Bypasses the encoder, which cannot write half an answer.
            ChannelHandlerContext raw = context.pipeline().firstContext();
            switch (fault) {
                case LOSE_REPLY -> response.release();
                case DUPLICATE -> {
                    write(context, response.retainedDuplicate(), true);
                    write(context, response, keep);
                }
                case STALL_MID_FRAME -> {
                    raw.writeAndFlush(Unpooled.wrappedBuffer(head, 0, head.length / 2));
                    context.channel().config().setAutoRead(false);
                    response.release();
                }
                case CUT_SHORT -> {
                    raw.writeAndFlush(Unpooled.wrappedBuffer(head, 0, 1 + faults.randomBelow(head.length - 1)))
                        .addListener(ChannelFutureListener.CLOSE);
                    response.release();
                }
                case GARBAGE -> {
                    raw.writeAndFlush(Unpooled.wrappedBuffer(faults.garbage()));
                    response.release();
                }
                case NONE, DELAY, REORDER, WRONG_ID -> write(context, response, keep);
            }
        }

        private DefaultFullHttpResponse response(FullHttpRequest request) {
            int code = (int) number(request, "X-Answer-Status", status);
            long bytes = number(request, "X-Answer-Bytes", -1);
            String text = name + " " + request.method() + " " + request.uri() + " " + request.content().readableBytes()
                + " bytes\n";
            DefaultFullHttpResponse response = answer(code, bytes < 0 ? text : "x".repeat((int) Math.min(MAX_BODY_BYTES, bytes)));
            response.headers().set("X-Stand-In", name);
            if (request.headers().contains(TINY_CHUNKS)) {
                response.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
                response.headers().set(TINY_CHUNKS, number(request, TINY_CHUNKS, 0));
            }
            return response;
        }

        private static long number(FullHttpRequest request, String header, long defaultValue) {
            String text = request.headers().get(header);
            return text != null && text.matches("[0-9]{1,9}") ? Long.parseLong(text) : defaultValue;
        }

        private static DefaultFullHttpResponse answer(int status, String text) {
            ByteBuf body = status == 204 || status == 304 ? Unpooled.EMPTY_BUFFER
                : Unpooled.copiedBuffer(text, StandardCharsets.UTF_8);
            DefaultFullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1,
                HttpResponseStatus.valueOf(status), body);
            if (status != 204 && status != 304) {
                response.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes());
            }
            response.headers().set(HttpHeaderNames.CONTENT_TYPE, "text/plain");
            return response;
        }

        private static void write(ChannelHandlerContext context, FullHttpResponse response, boolean keep) {
            HttpUtil.setKeepAlive(response, keep);
            var sent = context.writeAndFlush(response);
            if (!keep) {
                sent.addListener(ChannelFutureListener.CLOSE);
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }
}
