package onyxpaddle.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.lang.reflect.Proxy;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import onyxpaddle.BalancerApi.ListKind;
import onyxpaddle.BalancerApi.ServerEntry;
import onyxpaddle.BalancerApi.ServerState;
import onyxpaddle.BalancerApi.Settings;
import onyxpaddle.FlatSettings;
import onyxpaddle.RatioBalancer;
import org.junit.jupiter.api.Test;

/** The deadline of a request whose body is passed on while it arrives, without sockets and by a clock that the test moves. */
class UploadDeadlineTest {
    private static final long MS = 1_000_000L;
    private static final long TIMEOUT = 1_000 * MS;
    /** How late after its caller's time a request is answered at the latest; lost is what comes 0.5 s after it. */
    private static final long LATEST = 310 * MS;

    private final long start = 1_700_000_000_000_000_000L;
    private long now = start;
    private long waitsSince;
    private final List<Attempt> attempts = new ArrayList<>();
    private String answer;
    private long answeredAt;
    private final PriorityQueue<Wakeup> scheduled = new PriorityQueue<>();
    private final Settings settings = settings();
    private final ScheduledExecutorService loop = (ScheduledExecutorService) Proxy.newProxyInstance(
        UploadDeadlineTest.class.getClassLoader(), new Class<?>[] {ScheduledExecutorService.class}, (proxy, method, arguments) -> {
            scheduled.add(new Wakeup(now + ((TimeUnit) arguments[2]).toNanos((Long) arguments[1]), (Runnable) arguments[0]));
            return null;
        });
    private final Dispatcher dispatcher = new Dispatcher(new Clock() {
        @Override
        public long now() {
            return now;
        }

        @Override
        public long lastPoll() {
            return now;
        }
    }, loop, new RatioBalancer(settings, 1), settings.limits(), new RequestCounts(List.of("book")));

    private record Wakeup(long at, Runnable task) implements Comparable<Wakeup> {
        @Override
        public int compareTo(Wakeup other) {
            return Long.compare(at, other.at);
        }
    }

    private final Upload.Sink sink = new Upload.Sink() {
        @Override
        public void take(ByteBuf more, boolean last) {
            more.release();
        }

        @Override
        public void flush() {
        }

        @Override
        public void aborted() {
        }
    };

    private static Settings settings() {
        Map<String, String> pairs = new HashMap<>(Map.of("az", "a", "areas", "a", "quantumS", "0.002", "limits.maxAttempts", "3"));
        pairs.putAll(Map.of("classes.count", "1", "classes.0.name", "book", "classes.0.effect", "non_idempotent", "classes.0.aimS", "0.5",
            "classes.0.deadlineS", "1"));
        return new FlatSettings(pairs).settings();
    }

    private Exchange request() {
        Body held = new Body(new SharedLimit(1 << 20).join(), 0, 1);
        Upload upload = new Upload(-1, held, new Upload.Reader() {
            @Override
            public void read(boolean on) {
            }

            @Override
            public long waitsSince() {
                return waitsSince;
            }
        });
        return new Exchange(new Exchange.Terms("r", settings.classes().get(0), TIMEOUT, null, 0, false), null, held, new Caller() {
            @Override
            public void served(Answer served) {
                answered("served");
            }

            @Override
            public void refused(Refusal refusal, long retryAfter, Answer own) {
                answered("refused");
            }

            @Override
            public void failed(boolean late, Answer own) {
                answered("failed");
            }
        }, upload);
    }

    private void answered(String how) {
        assertEquals(null, answer, "a second answer");
        answer = how;
        answeredAt = now;
    }

    /** {@code taken}: whether the server takes the body when the attempt begins. */
    private void connectServers(int servers, boolean taken) {
        dispatcher.connect(new Upstream() {
            @Override
            public void send(Attempt attempt) {
                attempts.add(attempt);
                if (taken) {
                    dispatcher.bodyConsumed(attempt);
                    attempt.exchange.upload.attach(sink);
                    attempt.exchange.upload.resume();
                }
            }

            @Override
            public void giveUp(Attempt attempt) {
                attempt.exchange.upload.detach(sink);
            }
        }, () -> { });
        List<ServerEntry> list = new ArrayList<>();
        for (int i = 0; i < servers; i++) {
            list.add(new ServerEntry("s" + i, "a", 0, ServerState.READY, 1, 0));
        }
        dispatcher.membership(ListKind.ALL, list);
    }

    private void passUntil(long end) {
        while (!scheduled.isEmpty() && scheduled.peek().at() <= end) {
            Wakeup next = scheduled.poll();
            now = Math.max(now, next.at());
            next.task().run();
        }
        now = Math.max(now, end);
    }

    private void arrive(Exchange x) {
        waitsSince = now;
        dispatcher.arrived(x, now);
    }

    /** Guards against a request for a server that takes none of its body, and for no server at all, that waits for minutes. */
    @Test
    void requestThatMakesNoProgressIsRefusedInItsCallersTime() {
        for (int servers : new int[] {2, 0}) {
            UploadDeadlineTest own = new UploadDeadlineTest();
            own.connectServers(servers, true);
            own.arrive(own.request());
            own.passUntil(own.start + 5 * TIMEOUT);
            assertEquals("refused", own.answer);
            assertTrue(own.answeredAt <= own.start + TIMEOUT + LATEST, "after " + (own.answeredAt - own.start) / MS + " ms");
        }
    }

    @Test
    void requestGoesOnForAsLongAsItsCallerWrites() {
        connectServers(2, true);
        Exchange x = request();
        arrive(x);
        for (int i = 1; i <= 50; i++) {
            passUntil(start + i * 200 * MS);
            waitsSince = now;
        }
        assertEquals(null, answer);
        dispatcher.bodyReceived(x, now);
        assertEquals(now + TIMEOUT, x.deadline());
        passUntil(now + 5 * TIMEOUT);
        assertEquals("refused", answer, "no last byte was written to the server, so it has not run");
        assertEquals(1, attempts.size());
        assertTrue(answeredAt <= start + 10_000 * MS + TIMEOUT + LATEST);
    }

    /** Guards against a deadline that counts from when a server has the last byte. */
    @Test
    void deadlineCountsFromTheLastByteOfTheCaller() {
        for (int seed = 0; seed < 300; seed++) {
            UploadDeadlineTest own = new UploadDeadlineTest();
            Random random = new Random(seed);
            own.connectServers(2, true);
            Exchange x = own.request();
            own.arrive(x);
            long writtenAt = own.start + random.nextInt(3_000) * MS;
            long readAt = writtenAt + random.nextInt(2_000) * MS;
            for (long at = own.start; at < readAt && own.answer == null; at += 50 * MS) {
                own.passUntil(at);
                own.waitsSince = Math.min(at, writtenAt - random.nextInt(100) * MS);
            }
            if (own.answer == null) {
                own.passUntil(readAt);
            }
            if (own.answer == null) {
                dispatchLastByte(own, x, writtenAt);
                long told = x.timeLeft(own.now);
                assertTrue(told <= Math.max(0, writtenAt + TIMEOUT - own.now) + 150 * MS, "seed " + seed + ": told " + told / MS);
                own.passUntil(readAt + 10 * TIMEOUT);
            }
            assertTrue(own.answeredAt <= writtenAt + TIMEOUT + LATEST, "seed " + seed + ": " + (own.answeredAt - writtenAt) / MS + " ms");
        }
    }

    private static void dispatchLastByte(UploadDeadlineTest own, Exchange x, long writtenAt) {
        own.dispatcher.bodyReceived(x, writtenAt);
        x.upload.add(Unpooled.EMPTY_BUFFER, true);
        own.attempts.forEach(attempt -> {
            attempt.markWritten();
            own.dispatcher.uploaded(attempt);
        });
    }
}
