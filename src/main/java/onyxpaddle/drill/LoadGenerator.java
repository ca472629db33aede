package onyxpaddle.drill;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import onyxpaddle.drill.Drill.Effect;
import onyxpaddle.drill.Drill.LoadClass;
import onyxpaddle.drill.Event.Type;

/**
 * Generates the load of all sites' clients: an open-loop load, which does not wait for answers, sent through a simulated front that
 * spreads requests over the nodes of a site and takes out dead nodes after a delay. Runs on a single event loop.
 */
final class LoadGenerator {
    private static final long TICK_MS = 1;
    /** A connection that has been idle for longer is not reused, because the node may be about to close it. */
    private static final long MAX_IDLE_NS = 3_000_000_000L;
    /**
     * If the load generator's own loop was delayed by more than this, it closes its idle connections. On a busy machine a node may close
     * a connection as idle just when the delayed client writes to it. HTTP allows such a request to be sent again, so it must not count
     * against the node.
     */
    private static final long LOOP_DELAY_LIMIT_NS = 500_000_000L;
    /** How long after its deadline a request still waits for an answer. */
    private static final long ANSWER_TIMEOUT_MS = 20_000;
    private static final int MAX_RESPONSE_BYTES = 1 << 20;
    private static final long MAX_RETRY_DELAY_MS = 5_000;

    /** A node from the point of view of the front. */
    private final class FrontNode {
        final String name;
        final String site;
        final ArrayDeque<IdleConnection> idle = new ArrayDeque<>();
        InetSocketAddress address;
        boolean up;

        FrontNode(String name, InetSocketAddress address) {
            this.name = name;
            this.site = name.substring(0, name.indexOf('/'));
            this.address = address;
        }
    }

    private record IdleConnection(Channel channel, long since) {
    }

    /** One attempt of a client; a retry keeps the time of the first attempt. */
    private final class Attempt {
        final String id;
        final LoadClass loadClass;
        final String site;
        final long firstSentAt;
        final int retriesLeft;
        FrontNode node;
        boolean sent;
        boolean over;

        Attempt(String id, LoadClass loadClass, String site, long firstSentAt, int retriesLeft) {
            this.id = id;
            this.loadClass = loadClass;
            this.site = site;
            this.firstSentAt = firstSentAt;
            this.retriesLeft = retriesLeft;
        }
    }

    private record ScheduledTask(long at, Runnable action) {
    }

    private final Drill drill;
    private final History history;
    private final ClientStatistics statistics;
    private final EventLoop loop;
    private final SplittableRandom random;
    private final List<FrontNode> nodes = new ArrayList<>();
    private final PriorityQueue<ScheduledTask> tasks = new PriorityQueue<>(Comparator.comparingLong(ScheduledTask::at));
    private double loadFactor = 1;
    private long requestCount;
    private long open;
    private long startedAt;
    private long until;
    private long lastTick = System.nanoTime();

    LoadGenerator(Drill drill, History history, ClientStatistics statistics, EventLoop loop) {
        this.drill = drill;
        this.history = history;
        this.statistics = statistics;
        this.loop = loop;
        this.random = new SplittableRandom(drill.seed());
    }

    /** Adds a node to the front; it receives requests once {@link #setUp} has marked it as up. */
    void addNode(String node, InetSocketAddress address) {
        loop.execute(() -> nodes.add(new FrontNode(node, address)));
    }

    /** Includes the node in the front's selection, or removes it and closes its idle connections. */
    void setUp(String node, boolean on) {
        loop.execute(() -> nodes.stream().filter(n -> n.name.equals(node)).forEach(n -> {
            n.up = on;
            if (!on) {
                closeIdle(n);
            }
        }));
    }

    private void closeIdle(FrontNode node) {
        node.idle.forEach(i -> i.channel().close());
        node.idle.clear();
    }

    void loadFactor(double times) {
        loop.execute(() -> loadFactor = times);
    }

    /** Starts the load; the future completes when its duration is over and no request is open. */
    CompletableFuture<Void> start() {
        CompletableFuture<Void> done = new CompletableFuture<>();
        loop.execute(() -> {
            startedAt = System.nanoTime();
            until = startedAt + drill.durationMs() * 1_000_000;
            statistics.begin(startedAt);
            drill.load().forEach(c -> scheduleArrival(c, startedAt));
            tick(done);
        });
        return done;
    }

    private void tick(CompletableFuture<Void> done) {
        long now = System.nanoTime();
        if (now - lastTick > LOOP_DELAY_LIMIT_NS) {
            nodes.forEach(this::closeIdle);
        }
        lastTick = now;
        while (!tasks.isEmpty() && tasks.peek().at() <= now) {
            tasks.poll().action().run();
        }
        if (now > until && open == 0 && tasks.isEmpty()) {
            nodes.forEach(this::closeIdle);
            done.complete(null);
        } else {
            loop.schedule(() -> tick(done), TICK_MS, TimeUnit.MILLISECONDS);
        }
    }

    /** Schedules the next arrival of a class; arrivals form a Poisson process. */
    private void scheduleArrival(LoadClass loadClass, long from) {
        long at = from + (long) (-Math.log(1 - random.nextDouble()) * 1e9 / (loadClass.perSecond() * Math.max(1e-9, loadFactor)));
        if (at < until) {
            tasks.add(new ScheduledTask(at, () -> {
                scheduleArrival(loadClass, at);
                statistics.offered(loadClass);
                send(new Attempt(nextId(), loadClass, pickSite(), System.nanoTime(), loadClass.retries()));
            }));
        }
    }

    private String nextId() {
        return String.format("%08x%08x", drill.seed() & 0xffffffffL, ++requestCount);
    }

    private String pickSite() {
        double sum = drill.sites().values().stream().mapToDouble(Drill.Site::share).sum();
        double at = random.nextDouble() * sum;
        for (String site : drill.siteNames()) {
            at -= drill.sites().get(site).share();
            if (at < 0) {
                return site;
            }
        }
        return drill.siteNames().get(0);
    }

    private void send(Attempt t) {
        List<FrontNode> candidates = nodes.stream().filter(n -> n.up && n.site.equals(t.site)).collect(Collectors.toList());
        if (candidates.isEmpty()) {
            candidates = nodes.stream().filter(n -> n.up).collect(Collectors.toList());
        }
        if (candidates.isEmpty()) {
            statistics.turnedAway();
            return;
        }
        t.node = candidates.get(random.nextInt(candidates.size()));
        open++;
        for (IdleConnection kept = t.node.idle.pollLast(); kept != null; kept = t.node.idle.pollLast()) {
            if (kept.channel().isActive() && System.nanoTime() - kept.since() < MAX_IDLE_NS) {
                write(t, kept.channel());
                return;
            }
            kept.channel().close();
        }
        long connectStarted = System.nanoTime();
        new Bootstrap().group(loop).channel(NioSocketChannel.class)
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, 1_000)
            .handler(new ChannelInitializer<SocketChannel>() {
                @Override
                protected void initChannel(SocketChannel channel) {
                    channel.pipeline().addLast(new HttpClientCodec(), new HttpObjectAggregator(MAX_RESPONSE_BYTES), new ResponseHandler());
                }
            }).connect(t.node.address).addListener((ChannelFuture done) -> {
                if (done.isSuccess() && System.nanoTime() - connectStarted < LOOP_DELAY_LIMIT_NS) {
                    write(t, done.channel());
                } else {
                    done.channel().close();
                    connectionRefused(t);
                }
            });
    }

    private void connectionRefused(Attempt t) {
        if (!t.over) {
            t.over = true;
            open--;
            statistics.turnedAway();
            history.add(Type.TURNED_AWAY, "id", t.id, "node", t.node.name);
            retry(t, 0);
        }
    }

    private void write(Attempt t, Channel channel) {
        boolean safe = t.loadClass.effect() == Effect.SAFE;
        FullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, safe ? HttpMethod.GET : HttpMethod.POST,
            "/" + t.loadClass.name(), Unpooled.EMPTY_BUFFER);
        request.headers().set("Host", "app.svc").set("X-Trace-Id", t.id).set("X-Qos", t.loadClass.name()).set("X-Effect", t.id)
            .set("X-Expires-In", String.format(java.util.Locale.ROOT, "%.3f", t.loadClass.deadlineMs() / 1e3));
        if (!safe) {
            request.headers().set("Content-Length", 0);
        }
        channel.pipeline().get(ResponseHandler.class).pending = t;
        channel.writeAndFlush(request).addListener(written -> {
            if (written.isSuccess()) {
                t.sent = true;
                history.add(Type.SENT, "id", t.id, "class", t.loadClass.name(),
                    "effect", t.loadClass.effect().name().toLowerCase(java.util.Locale.ROOT),
                    "node", t.node.name, "deadline", Long.toString(t.loadClass.deadlineMs()));
            } else {
                channel.close();
                connectionRefused(t);
            }
        });
        loop.schedule(() -> {
            if (!t.over) {
                t.over = true;
                open--;
                history.add(Type.UNANSWERED, "id", t.id);
                statistics.ended(t.loadClass, t.firstSentAt, 0);
                channel.close();
            }
        }, t.loadClass.deadlineMs() + ANSWER_TIMEOUT_MS, TimeUnit.MILLISECONDS);
    }

    /** Schedules a retry if the client has any left; {@code afterMs} is the delay that the answer asked for. */
    private void retry(Attempt t, long afterMs) {
        if (t.retriesLeft > 0) {
            long at = System.nanoTime() + Math.min(MAX_RETRY_DELAY_MS, afterMs) * 1_000_000;
            tasks.add(new ScheduledTask(at, () -> send(new Attempt(nextId(), t.loadClass, t.site, t.firstSentAt, t.retriesLeft - 1))));
        }
    }

    /** Handles the answers on a connection, which carries one request at a time. */
    private final class ResponseHandler extends SimpleChannelInboundHandler<FullHttpResponse> {
        private Attempt pending;

        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpResponse answer) {
            Attempt t = pending;
            pending = null;
            if (t == null || t.over) {
                context.close();
                return;
            }
            t.over = true;
            open--;
            int status = answer.status().code();
            String body = answer.content().toString(StandardCharsets.US_ASCII);
            String by = status == 200 && body.indexOf(' ') > 0 ? body.substring(0, body.indexOf(' ')) : "";
            history.add(Type.ANSWERED, "id", t.id, "status", Integer.toString(status), "by", by);
            statistics.ended(t.loadClass, t.firstSentAt, status);
            if (HttpUtil.isKeepAlive(answer) && t.node.up) {
                t.node.idle.add(new IdleConnection(context.channel(), System.nanoTime()));
            } else {
                context.close();
            }
            if (status == 503 || status == 429) {
                String retryAfter = answer.headers().get("Retry-After", "0");
                retry(t, retryAfter.matches("[0-9]{1,4}(\\.[0-9]{1,9})?") ? (long) (Double.parseDouble(retryAfter) * 1e3) : 0);
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            Attempt t = pending;
            if (t != null && !t.over) {
                if (!t.sent) {
                    connectionRefused(t);
                    return;
                }
                t.over = true;
                open--;
                history.add(Type.BROKEN, "id", t.id);
                statistics.ended(t.loadClass, t.firstSentAt, 0);
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }
}
