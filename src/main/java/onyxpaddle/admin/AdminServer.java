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
 * The admin server: a separate listener for operators' calls, one per connection. It keeps the node observable under load and despite
 * callers that send nothing: its connections and memory are its own and bounded, and at the limit a new connection replaces the oldest.
 * Nothing that clients do on the node's listeners affects it. Drawback: a call that takes more than two seconds fails, and so does
 * the oldest one if more than {@value #MAX_CONNECTIONS} are open at once.
 */
public final class AdminServer {
    private static final int MAX_CONNECTIONS = 24;
    private static final int CALL_TIMEOUT_MS = 2_000;
    /** How long unread input is drained after the answer, as closing with unread input resets the connection and loses the answer. */
    private static final int LINGER_MS = 500;
    private static final int MAX_LINE = 1024;
    private static final int MAX_HEAD = 4 * 1024;
    private static final int MAX_BODY = 1024;
    private static final int READ_SIZE = 2048;
    private static final int MAX_PARAMETERS = 8;

    private final EventLoop loop;
    private final ByteBufAllocator allocator;
    private final AdminOperations operations;
    private final LinkedHashSet<Channel> open = new LinkedHashSet<>();
    private Channel listener;

    public AdminServer(EventLoop loop, ByteBufAllocator allocator, AdminOperations operations) {
        this.loop = loop;
        this.allocator = allocator;
        this.operations = operations;
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
                        .setMaxInitialLineLength(MAX_LINE).setMaxHeaderSize(MAX_HEAD).setMaxChunkSize(READ_SIZE)),
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
        while (open.size() >= MAX_CONNECTIONS) {
            Channel oldest = open.iterator().next();
            open.remove(oldest);
            oldest.close();
        }
        open.add(channel);
        Future<?> timeout = loop.schedule(() -> channel.close(), CALL_TIMEOUT_MS, TimeUnit.MILLISECONDS);
        channel.closeFuture().addListener(f -> {
            timeout.cancel(false);
            open.remove(channel);
        });
    }

    private record Result(HttpResponseStatus status, String type, String text) {
        static Result of(boolean success) {
            return new Result(success ? HttpResponseStatus.OK : HttpResponseStatus.SERVICE_UNAVAILABLE, "text/plain",
                success ? "yes\n" : "no\n");
        }

        static Result of(HttpResponseStatus status) {
            return new Result(status, "text/plain", status.reasonPhrase() + "\n");
        }
    }

    private Result call(HttpMethod method, String uri) {
        QueryStringDecoder query = new QueryStringDecoder(uri, StandardCharsets.UTF_8, true, MAX_PARAMETERS);
        String path = query.rawPath();
        HttpMethod expected = switch (path) {
            case "/ready", "/metrics", "/servers", "/bgp", "/sites" -> HttpMethod.GET;
            case "/drain", "/undrain", "/servers/disable", "/servers/enable", "/sites/hold", "/sites/release" -> HttpMethod.POST;
            default -> null;
        };
        if (expected == null) {
            return Result.of(HttpResponseStatus.NOT_FOUND);
        } else if (!method.equals(expected)) {
            return Result.of(HttpResponseStatus.METHOD_NOT_ALLOWED);
        }
        return switch (path) {
            case "/ready" -> ready();
            case "/metrics" -> new Result(HttpResponseStatus.OK, MetricsExposition.TYPE, operations.metrics());
            case "/servers" -> new Result(HttpResponseStatus.OK, "application/json", operations.servers());
            case "/bgp" -> json(operations.bgp());
            case "/sites" -> json(operations.sites());
            case "/drain" -> Result.of(operations.drain());
            case "/undrain" -> Result.of(operations.undrain());
            default -> callWithId(query.parameters().getOrDefault("id", List.of()), path);
        };
    }

    private Result ready() {
        return operations.ready() && operations.withoutServers()
            ? new Result(HttpResponseStatus.OK, "text/plain", "yes, but no server is listed\n") : Result.of(operations.ready());
    }

    private static Result json(String text) {
        return text == null ? Result.of(HttpResponseStatus.NOT_FOUND) : new Result(HttpResponseStatus.OK, "application/json", text);
    }

    private Result callWithId(List<String> ids, String path) {
        if (ids.size() != 1 || ids.get(0).isEmpty()) {
            return Result.of(HttpResponseStatus.BAD_REQUEST);
        }
        String id = ids.get(0);
        boolean done = switch (path) {
            case "/servers/disable" -> operations.setServerDisabled(id, true);
            case "/servers/enable" -> operations.setServerDisabled(id, false);
            default -> operations.setSiteHeld(id, path.endsWith("/hold"));
        };
        return done ? Result.of(true) : Result.of(HttpResponseStatus.NOT_FOUND);
    }

    /** Handles the single call of a connection. */
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
                // No 100 (Continue) is sent, as bodies are ignored.
            }
            if (part instanceof HttpContent content) {
                body += content.content().readableBytes();
                if (body > MAX_BODY) {
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
                // The query has an invalid percent-encoding.
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
            Future<?> lingerTimeout = loop.schedule(() -> context.close(), LINGER_MS, TimeUnit.MILLISECONDS);
            context.channel().closeFuture().addListener(f -> lingerTimeout.cancel(false));
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            if (!(cause instanceof java.io.IOException)) {
                Log.failure("admin call", cause);
            }
            context.close();
        }
    }
}
