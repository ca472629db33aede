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
 * Clients of all sites: an open load, which does not wait for answers, through a front that deals requests out among the
 * nodes of a site and after a while notices those that are dead. Everything happens on one loop.
 */
final class LoadGenerator {
    private static final long AGENDA_MS = 1;
    /** A connection that has stood idle for longer is not used again: a node may be about to close it. */
    private static final long FRESH_NS = 3_000_000_000L;
    /**
     * Beyond this the callers' own loop was late, and what it holds of connections is old news: it lets go of those that
     * no request is on. Guards against a busy machine, on which a node closes what seems to it to have stood silent, just as
     * a late caller writes; the protocol lets such a request be sent once more, so nothing of it is the node's.
     */
    private static final long OWN_DELAY_NS = 500_000_000L;
    /** How long past its deadline a request is waited for. */
    private static final long LONGEST_MS = 20_000;
    private static final int LARGEST = 1 << 20;
    private static final long MOST_PUT_OFF_MS = 5_000;

    /** A node as the front sees it. */
    private final class Door {
        final String name;
        final String site;
        final ArrayDeque<Idle> idle = new ArrayDeque<>();
        InetSocketAddress address;
        boolean up;

        Door(String name, InetSocketAddress address) {
            this.name = name;
            this.site = name.substring(0, name.indexOf('/'));
            this.address = address;
        }
    }

    private record Idle(Channel channel, long since) {
    }

    /** One try; a further one of the same client has the same beginning. */
    private final class Try {
        final String id;
        final LoadClass of;
        final String site;
        final long firstAt;
        final int retriesLeft;
        Door door;
        boolean sent;
        boolean over;

        Try(String id, LoadClass of, String site, long firstAt, int retriesLeft) {
            this.id = id;
            this.of = of;
            this.site = site;
            this.firstAt = firstAt;
            this.retriesLeft = retriesLeft;
        }
    }

    private record Due(long at, Runnable what) {
    }

    private final Drill drill;
    private final History history;
    private final ClientStatistics figures;
    private final EventLoop loop;
    private final SplittableRandom random;
    private final List<Door> doors = new ArrayList<>();
    private final PriorityQueue<Due> agenda = new PriorityQueue<>(Comparator.comparingLong(Due::at));
    private double factor = 1;
    private long count;
    private long open;
    private long begun;
    private long until;
    private long ticked = System.nanoTime();

    LoadGenerator(Drill drill, History history, ClientStatistics figures, EventLoop loop) {
        this.drill = drill;
        this.history = history;
        this.figures = figures;
        this.loop = loop;
        this.random = new SplittableRandom(drill.seed());
    }

    /** A node that the front knows; it is dealt requests from {@link #up} on. */
    void door(String node, InetSocketAddress address) {
        loop.execute(() -> doors.add(new Door(node, address)));
    }

    /** The front deals out requests to it from now on, or no longer. */
    void up(String node, boolean on) {
        loop.execute(() -> doors.stream().filter(d -> d.name.equals(node)).forEach(d -> {
            d.up = on;
            if (!on) {
                letGo(d);
            }
        }));
    }

    private void letGo(Door door) {
        door.idle.forEach(i -> i.channel().close());
        door.idle.clear();
    }

    void factor(double times) {
        loop.execute(() -> factor = times);
    }

    /** Plays the load; what it returns completes when its time is over and nothing is open any more. */
    CompletableFuture<Void> play() {
        CompletableFuture<Void> over = new CompletableFuture<>();
        loop.execute(() -> {
            begun = System.nanoTime();
            until = begun + drill.durationMs() * 1_000_000;
            figures.begin(begun);
            drill.load().forEach(of -> next(of, begun));
            tick(over);
        });
        return over;
    }

    private void tick(CompletableFuture<Void> over) {
        long now = System.nanoTime();
        if (now - ticked > OWN_DELAY_NS) {
            doors.forEach(this::letGo);
        }
        ticked = now;
        while (!agenda.isEmpty() && agenda.peek().at() <= now) {
            agenda.poll().what().run();
        }
        if (now > until && open == 0 && agenda.isEmpty()) {
            doors.forEach(this::letGo);
            over.complete(null);
        } else {
            loop.schedule(() -> tick(over), AGENDA_MS, TimeUnit.MILLISECONDS);
        }
    }

    /** Plans the next arrival of a class: at random, independent of each other. */
    private void next(LoadClass of, long from) {
        long at = from + (long) (-Math.log(1 - random.nextDouble()) * 1e9 / (of.perSecond() * Math.max(1e-9, factor)));
        if (at < until) {
            agenda.add(new Due(at, () -> {
                next(of, at);
                figures.offered(of);
                ask(new Try(id(), of, site(), System.nanoTime(), of.retries()));
            }));
        }
    }

    private String id() {
        return String.format("%08x%08x", drill.seed() & 0xffffffffL, ++count);
    }

    private String site() {
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

    private void ask(Try t) {
        List<Door> here = doors.stream().filter(d -> d.up && d.site.equals(t.site)).collect(Collectors.toList());
        if (here.isEmpty()) {
            here = doors.stream().filter(d -> d.up).collect(Collectors.toList());
        }
        if (here.isEmpty()) {
            figures.turnedAway();
            return;
        }
        t.door = here.get(random.nextInt(here.size()));
        open++;
        for (Idle kept = t.door.idle.pollLast(); kept != null; kept = t.door.idle.pollLast()) {
            if (kept.channel().isActive() && System.nanoTime() - kept.since() < FRESH_NS) {
                write(t, kept.channel());
                return;
            }
            kept.channel().close();
        }
        long dialled = System.nanoTime();
        new Bootstrap().group(loop).channel(NioSocketChannel.class)
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, 1_000)
            .handler(new ChannelInitializer<SocketChannel>() {
                @Override
                protected void initChannel(SocketChannel channel) {
                    channel.pipeline().addLast(new HttpClientCodec(), new HttpObjectAggregator(LARGEST), new Answers());
                }
            }).connect(t.door.address).addListener((ChannelFuture done) -> {
                if (done.isSuccess() && System.nanoTime() - dialled < OWN_DELAY_NS) {
                    write(t, done.channel());
                } else {
                    done.channel().close();
                    turnedAway(t);
                }
            });
    }

    private void turnedAway(Try t) {
        if (!t.over) {
            t.over = true;
            open--;
            figures.turnedAway();
            history.add(Type.TURNED_AWAY, "id", t.id, "node", t.door.name);
            again(t, 0);
        }
    }

    private void write(Try t, Channel channel) {
        boolean safe = t.of.effect() == Effect.SAFE;
        FullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, safe ? HttpMethod.GET : HttpMethod.POST,
            "/" + t.of.name(), Unpooled.EMPTY_BUFFER);
        request.headers().set("Host", "app.svc").set("X-Trace-Id", t.id).set("X-Qos", t.of.name()).set("X-Effect", t.id)
            .set("X-Expires-In", String.format(java.util.Locale.ROOT, "%.3f", t.of.deadlineMs() / 1e3));
        if (!safe) {
            request.headers().set("Content-Length", 0);
        }
        channel.pipeline().get(Answers.class).waits = t;
        channel.writeAndFlush(request).addListener(written -> {
            if (written.isSuccess()) {
                t.sent = true;
                history.add(Type.SENT, "id", t.id, "class", t.of.name(), "effect", t.of.effect().name().toLowerCase(java.util.Locale.ROOT),
                    "node", t.door.name, "deadline", Long.toString(t.of.deadlineMs()));
            } else {
                channel.close();
                turnedAway(t);
            }
        });
        loop.schedule(() -> {
            if (!t.over) {
                t.over = true;
                open--;
                history.add(Type.UNANSWERED, "id", t.id);
                figures.ended(t.of, t.firstAt, 0);
                channel.close();
            }
        }, t.of.deadlineMs() + LONGEST_MS, TimeUnit.MILLISECONDS);
    }

    /** A client tries again, if it does so at all; {@code afterMs}: as it was told. */
    private void again(Try t, long afterMs) {
        if (t.retriesLeft > 0) {
            long at = System.nanoTime() + Math.min(MOST_PUT_OFF_MS, afterMs) * 1_000_000;
            agenda.add(new Due(at, () -> ask(new Try(id(), t.of, t.site, t.firstAt, t.retriesLeft - 1))));
        }
    }

    /** What comes on a connection; one request is open on it at a time. */
    private final class Answers extends SimpleChannelInboundHandler<FullHttpResponse> {
        private Try waits;

        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpResponse answer) {
            Try t = waits;
            waits = null;
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
            figures.ended(t.of, t.firstAt, status);
            if (HttpUtil.isKeepAlive(answer) && t.door.up) {
                t.door.idle.add(new Idle(context.channel(), System.nanoTime()));
            } else {
                context.close();
            }
            if (status == 503 || status == 429) {
                String away = answer.headers().get("Retry-After", "0");
                again(t, away.matches("[0-9]{1,4}(\\.[0-9]{1,9})?") ? (long) (Double.parseDouble(away) * 1e3) : 0);
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            Try t = waits;
            if (t != null && !t.over) {
                if (!t.sent) {
                    turnedAway(t);
                    return;
                }
                t.over = true;
                open--;
                history.add(Type.BROKEN, "id", t.id);
                figures.ended(t.of, t.firstAt, 0);
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }
}
