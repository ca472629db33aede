package onyxpaddle.admin;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.FixedRecvByteBufAllocator;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import onyxpaddle.node.Log;

/**
 * The operators' door: a listener of its own for a few calls, one to a connection. Guards the operators' view of the node
 * against the node's own load and against callers who say nothing: it has connections and memory of its own, both bounded,
 * and one that is slow goes for one that comes. It should cover any use of the clients' address, as that has no way here.
 * It would do harm where an operator's call takes over two seconds to come, or where more than {@value #MOST} call at once.
 */
public final class AdminServer {
    private static final int MOST = 24;
    private static final int LONGEST_CALL_MS = 2_000;
    /** What is left unread when the answer is given is read off for so long, or the close would reset the answer away. */
    private static final int LINGER_MS = 500;
    private static final int LONGEST_LINE = 1024;
    private static final int LONGEST_HEAD = 4 * 1024;
    private static final int LONGEST_BODY = 1024;
    private static final int READ_SIZE = 2048;
    private static final int MOST_PARAMETERS = 8;

    private final EventLoop loop;
    private final ByteBufAllocator allocator;
    private final AdminOperations calls;
    private final LinkedHashSet<Channel> open = new LinkedHashSet<>();
    private Channel listener;

    public AdminServer(EventLoop loop, ByteBufAllocator allocator, AdminOperations calls) {
        this.loop = loop;
        this.allocator = allocator;
        this.calls = calls;
    }

    public ChannelFuture listen(InetSocketAddress address) {
        ChannelFuture bound = new ServerBootstrap().group(loop).channel(NioServerSocketChannel.class)
            .option(ChannelOption.SO_BACKLOG, 256)
            .option(ChannelOption.SO_REUSEADDR, true)
            .childOption(ChannelOption.ALLOCATOR, allocator)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childOption(ChannelOption.RECVBUF_ALLOCATOR, new FixedRecvByteBufAllocator(READ_SIZE))
            .childHandler(new ChannelInitializer<SocketChannel>() {
                @Override
                protected void initChannel(SocketChannel channel) {
                    opened(channel);
                    channel.pipeline().addLast(new HttpRequestDecoder(new HttpDecoderConfig()
                        .setMaxInitialLineLength(LONGEST_LINE).setMaxHeaderSize(LONGEST_HEAD).setMaxChunkSize(READ_SIZE)),
                        new HttpResponseEncoder(), new Call());
                }
            })
            .bind(address);
        listener = bound.channel();
        return bound;
    }

    public InetSocketAddress address() {
        return (InetSocketAddress) listener.localAddress();
    }

    public void close() {
        listener.close();
        List.copyOf(open).forEach(Channel::close);
    }

    private void opened(Channel channel) {
        while (open.size() >= MOST) {
            Channel oldest = open.iterator().next();
            open.remove(oldest);
            oldest.close();
        }
        open.add(channel);
        Future<?> late = loop.schedule(() -> channel.close(), LONGEST_CALL_MS, TimeUnit.MILLISECONDS);
        channel.closeFuture().addListener(f -> {
            late.cancel(false);
            open.remove(channel);
        });
    }

    private record Result(HttpResponseStatus status, String type, String text) {
        static Result of(boolean yes) {
            return new Result(yes ? HttpResponseStatus.OK : HttpResponseStatus.SERVICE_UNAVAILABLE, "text/plain", yes ? "yes\n" : "no\n");
        }

        static Result of(HttpResponseStatus status) {
            return new Result(status, "text/plain", status.reasonPhrase() + "\n");
        }
    }

    private Result call(HttpMethod method, String uri) {
        QueryStringDecoder query = new QueryStringDecoder(uri, StandardCharsets.UTF_8, true, MOST_PARAMETERS);
        String path = query.rawPath();
        HttpMethod wanted = switch (path) {
            case "/ready", "/metrics", "/servers", "/bgp", "/sites" -> HttpMethod.GET;
            case "/drain", "/undrain", "/servers/disable", "/servers/enable", "/sites/hold", "/sites/release" -> HttpMethod.POST;
            default -> null;
        };
        if (wanted == null) {
            return Result.of(HttpResponseStatus.NOT_FOUND);
        } else if (!method.equals(wanted)) {
            return Result.of(HttpResponseStatus.METHOD_NOT_ALLOWED);
        }
        return switch (path) {
            case "/ready" -> Result.of(calls.ready());
            case "/metrics" -> new Result(HttpResponseStatus.OK, MetricsExposition.TYPE, calls.figures());
            case "/servers" -> new Result(HttpResponseStatus.OK, "application/json", calls.servers());
            case "/bgp" -> json(calls.bgp());
            case "/sites" -> json(calls.sites());
            case "/drain" -> Result.of(calls.drain());
            case "/undrain" -> Result.of(calls.undrain());
            default -> byHand(query.parameters().getOrDefault("id", List.of()), path);
        };
    }

    private static Result json(String text) {
        return text == null ? Result.of(HttpResponseStatus.NOT_FOUND) : new Result(HttpResponseStatus.OK, "application/json", text);
    }

    private Result byHand(List<String> ids, String path) {
        if (ids.size() != 1 || ids.get(0).isEmpty()) {
            return Result.of(HttpResponseStatus.BAD_REQUEST);
        }
        String id = ids.get(0);
        boolean done = switch (path) {
            case "/servers/disable" -> calls.takeOut(id, true);
            case "/servers/enable" -> calls.takeOut(id, false);
            default -> calls.site(id, path.endsWith("/hold"));
        };
        return done ? Result.of(true) : Result.of(HttpResponseStatus.NOT_FOUND);
    }

    /** One connection's one call. */
    private final class Call extends SimpleChannelInboundHandler<HttpObject> {
        private HttpMethod method;
        private String uri;
        private int body;
        private boolean answered;

        @Override
        protected void channelRead0(ChannelHandlerContext context, HttpObject part) {
            if (answered) {
                return;
            }
            if (part.decoderResult().isFailure()) {
                answer(context, Result.of(HttpResponseStatus.BAD_REQUEST));
                return;
            }
            if (part instanceof HttpRequest request) {
                method = request.method();
                uri = request.uri();
                // Nobody is told to go on with a body: it has no use here.
            }
            if (part instanceof HttpContent content) {
                body += content.content().readableBytes();
                if (body > LONGEST_BODY) {
                    answer(context, Result.of(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE));
                } else if (part instanceof LastHttpContent) {
                    answer(context, callOrError());
                }
            }
        }

        private Result callOrError() {
            try {
                return call(method, uri);
            } catch (IllegalArgumentException e) {
                // A query whose percent signs make no sense.
                return Result.of(HttpResponseStatus.BAD_REQUEST);
            }
        }

        private void answer(ChannelHandlerContext context, Result result) {
            answered = true;
            DefaultFullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, result.status(),
                Unpooled.copiedBuffer(result.text(), StandardCharsets.UTF_8));
            response.headers().set(HttpHeaderNames.CONTENT_TYPE, result.type())
                .set(HttpHeaderNames.CONTENT_LENGTH, response.content().readableBytes())
                .set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
            context.writeAndFlush(response).addListener(f -> ((SocketChannel) context.channel()).shutdownOutput());
            Future<?> lingering = loop.schedule(() -> context.close(), LINGER_MS, TimeUnit.MILLISECONDS);
            context.channel().closeFuture().addListener(f -> lingering.cancel(false));
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            if (!(cause instanceof java.io.IOException)) {
                Log.failure("a call at the operators' door", cause);
            }
            context.close();
        }
    }
}
