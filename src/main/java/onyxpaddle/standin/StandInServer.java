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
 * An HTTP server that stands in for a box or an application on loopback. It answers each request with its own name and
 * what it was asked, after a delay, and counts how often each request ran: by the {@code X-Effect} header, which its
 * callers make unique, or by no name at all. It can stand still, and can fail.
 *
 * <p>A caller may ask it for something special: {@code X-Answer-Status}, {@code X-Answer-Bytes}, {@code X-Answer-Delay}
 * (milliseconds).
 */
public final class StandInServer extends StandIn<StandInServer> {
    private static final int LARGEST = 64 << 20;
    /** Answers larger than this are not built in memory, and know no faults. */
    private static final int HELD = 1 << 20;
    private static final int PIECE = 64 * 1024;

    /** Told of what comes and what runs, on the server's own loop. */
    public interface Watcher {
        /** A request of that {@code X-Effect} has come whole, from that address. */
        void requestReceived(String effect, SocketAddress from);

        /** It runs. */
        void requestExecuted(String effect);
    }

    private volatile boolean silent;
    private volatile Watcher watcher;
    /** How many it works on at once, 0 for all that come, and how many more wait; of the loop alone. */
    private volatile int slots;
    private volatile int room;
    private volatile boolean dropsGone;
    private int busy;
    private final ArrayDeque<Runnable> line = new ArrayDeque<>();
    private volatile int status = 200;

    /** {@code port}: 0 for one that the system chooses. */
    public StandInServer(String name, int port) throws Exception {
        this(name, port, new ExecutionCounter());
    }

    /** As the other; {@code ledger}: where it writes down what ran, with those that share it. */
    public StandInServer(String name, int port, ExecutionCounter ledger) throws Exception {
        super(name, ledger);
        listen(port);
    }

    @Override
    StandInServer self() {
        return this;
    }

    @Override
    ChannelHandler[] handlers() {
        return new ChannelHandler[] {new HttpServerCodec(), new HttpObjectAggregator(LARGEST), new ChunkedWriteHandler(), new Requests()};
    }

    /** From now on it takes requests and says nothing, or answers again. */
    public StandInServer silent(boolean on) {
        silent = on;
        return this;
    }

    /** The status of its answers from now on, where the request does not ask for one. */
    public StandInServer status(int code) {
        status = code;
        return this;
    }

    /**
     * From now on it works on so many at once, lets {@code waiting} more wait, and turns further ones away. One whose caller
     * has gone while it waited never runs if {@code drops}, and is work for nobody else.
     */
    public StandInServer slots(int atOnce, int waiting, boolean drops) {
        room = waiting;
        dropsGone = drops;
        slots = atOnce;
        return this;
    }

    /** Who is told what comes and runs from now on. */
    public StandInServer watcher(Watcher told) {
        watcher = told;
        return this;
    }

    /** How often the request with this {@code X-Effect} ran. */
    public int runs(String effect) {
        return ledger.runs(effect);
    }

    /** How often each named request ran. */
    public Map<String, AtomicInteger> allRuns() {
        return ledger.allRuns();
    }

    /** How many requests it has answered or let run. */
    public long served() {
        return ledger.served();
    }

    /** So many bytes, all the same. */
    private static final class Repeated extends InputStream {
        private long left;

        Repeated(long length) {
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

    private final class Requests extends SimpleChannelInboundHandler<FullHttpRequest> {
        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
            if (request.decoderResult().isFailure()) {
                context.close();
                return;
            }
            boolean keep = HttpUtil.isKeepAlive(request);
            long large = number(request, "X-Answer-Bytes", 0);
            if (large > HELD) {
                ledger.ran(request.headers().get("X-Effect"));
                stream(context, large, keep);
                return;
            }
            String effect = request.headers().get("X-Effect");
            if (watcher != null) {
                watcher.requestReceived(effect, context.channel().remoteAddress());
            }
            if (refuses || slots > 0 && busy >= slots && line.size() >= room) {
                DefaultFullHttpResponse refusal = answer(503, "full\n");
                refusal.headers().set("X-Never-Ran", "1");
                write(context, refusal, keep);
                return;
            }
            DefaultFullHttpResponse response = response(request);
            long millis = number(request, "X-Answer-Delay", nextDelay());
            if (slots == 0) {
                work(context, effect, response, millis, keep, () -> { });
            } else if (busy < slots) {
                busy++;
                work(context, effect, response, millis, keep, this::next);
            } else {
                line.add(() -> {
                    if (context.channel().isActive() || !dropsGone) {
                        work(context, effect, response, millis, keep, this::next);
                    } else {
                        response.release();
                        next();
                    }
                });
            }
        }

        /** A place is free: the one that has waited longest has it. */
        private void next() {
            Runnable waits = line.poll();
            if (waits == null) {
                busy--;
            } else {
                waits.run();
            }
        }

        private void work(ChannelHandlerContext context, String effect, DefaultFullHttpResponse response, long millis, boolean keep,
                Runnable then) {
            ledger.ran(effect);
            if (watcher != null) {
                watcher.requestExecuted(effect);
            }
            if (silent) {
                response.release();
                return;
            }
            Fault fault = faults.next();
            after(context, millis + (fault == Fault.DELAY ? faults.delayMillis() : 0), () -> {
                faulty(context, response, keep, fault);
                then.run();
            });
        }

        /** A long answer, written as its reader takes it. */
        private void stream(ChannelHandlerContext context, long length, boolean keep) {
            DefaultHttpResponse head = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
            head.headers().set(HttpHeaderNames.CONTENT_LENGTH, length);
            HttpUtil.setKeepAlive(head, keep);
            context.write(head);
            context.writeAndFlush(new HttpChunkedInput(new ChunkedStream(new Repeated(length), PIECE)));
        }

        private void faulty(ChannelHandlerContext context, DefaultFullHttpResponse response, boolean keep, Fault fault) {
            byte[] head = ("HTTP/1.1 200 OK\r\nContent-Length: " + response.content().readableBytes() + "\r\n\r\n")
                .getBytes(StandardCharsets.US_ASCII);
            // Past the encoder, as no encoder writes half an answer.
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
                    raw.writeAndFlush(Unpooled.wrappedBuffer(head, 0, 1 + faults.draw(head.length - 1)))
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
            DefaultFullHttpResponse response = answer(code, bytes < 0 ? text : "x".repeat((int) Math.min(LARGEST, bytes)));
            response.headers().set("X-Stand-In", name);
            return response;
        }

        private static long number(FullHttpRequest request, String header, long usual) {
            String text = request.headers().get(header);
            return text != null && text.matches("[0-9]{1,9}") ? Long.parseLong(text) : usual;
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
