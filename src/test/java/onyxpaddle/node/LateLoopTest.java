package onyxpaddle.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.lang.reflect.Proxy;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ScheduledExecutorService;
import onyxpaddle.BalancerApi.ListKind;
import onyxpaddle.BalancerApi.ServerEntry;
import onyxpaddle.BalancerApi.ServerState;
import onyxpaddle.BalancerApi.Settings;
import onyxpaddle.FlatSettings;
import onyxpaddle.RatioBalancer;
import org.junit.jupiter.api.Test;

/** An event loop that is too busy with reads to run its timers: the dispatcher runs due timers between events. */
class LateLoopTest {
    private static final long MS = 1_000_000L;
    private static final long CALLER_TIMEOUT = 1_000 * MS;
    private long now = 1_700_000_000_000_000_000L;
    private final List<String> answers = new ArrayList<>();
    private final List<Attempt> attempts = new ArrayList<>();
    private final Settings settings = settings();
    private long lastPollAge;
    /** Timers of the event loop, which only a test runs. */
    private final ArrayDeque<Runnable> scheduled = new ArrayDeque<>();
    private final ScheduledExecutorService loop = (ScheduledExecutorService) Proxy.newProxyInstance(LateLoopTest.class.getClassLoader(),
        new Class<?>[] {ScheduledExecutorService.class}, (proxy, method, arguments) -> {
            scheduled.add((Runnable) arguments[0]);
            return null;
        });
    private final Dispatcher dispatcher = new Dispatcher(new Clock() {
        @Override
        public long now() {
            return now;
        }

        @Override
        public long lastPoll() {
            return now - lastPollAge;
        }
    }, loop, new RatioBalancer(settings, 1), settings.limits(), new RequestCounts(List.of("book")));

    private static Settings settings() {
        Map<String, String> pairs = new HashMap<>(Map.of("az", "a", "areas", "a", "quantumS", "0.002", "classes.count", "1", "classes.0.name", "book",
            "classes.0.effect", "non_idempotent", "classes.0.aimS", "0.5", "classes.0.deadlineS", "1", "limits.maxAttempts", "3"));
        return new FlatSettings(pairs).settings();
    }

    private Exchange request(String id) {
        return new Exchange(new Exchange.Terms(id, settings.classes().get(0), CALLER_TIMEOUT, null, 0, false), null,
            new Body(new SharedLimit(1 << 20).join(), 0, 1), new Caller() {
                @Override
                public void served(Answer answer) {
                    answers.add(id + " served");
                }

                @Override
                public void refused(Refusal refusal, long retryAfter, Answer own) {
                    answers.add(id + " refused");
                }

                @Override
                public void failed(boolean late, Answer own) {
                    answers.add(id + " failed");
                    if (id.equals("faulty")) {
                        throw new IllegalStateException("fault in a front");
                    }
                }
            });
    }

    private void connectServers() {
        dispatcher.connect(new Upstream() {
            @Override
            public void send(Attempt attempt) {
                attempt.markWritten();
                attempts.add(attempt);
            }

            @Override
            public void giveUp(Attempt attempt) {
            }
        }, () -> { });
        List<ServerEntry> servers = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            servers.add(new ServerEntry("s" + i, "a", 0, ServerState.READY, 1, 0));
        }
        dispatcher.membership(ListKind.ALL, servers);
    }

    @Test
    void dueTimeOutsRunBetweenEvents() {
        connectServers();
        dispatcher.arrived(request("a"), now);
        now += 400 * MS;
        dispatcher.arrived(request("b"), now);
        assertEquals(2, attempts.size());
        now += 599 * MS;
        dispatcher.arrived(request("c"), now);
        assertEquals(List.of(), answers);
        now += MS;
        dispatcher.arrived(request("d"), now);
        assertEquals(List.of("a failed"), answers, "its deadline has passed and another event has been handled");
        now += 5_000 * MS;
        dispatcher.arrived(request("e"), now);
        assertEquals(List.of("a failed", "b failed", "c failed", "d failed"), answers);
    }

    @Test
    void attemptBeginsOnceTheEventLoopHasReadWhatCameWhileItStoodStill() {
        connectServers();
        lastPollAge = 1_500 * MS;
        dispatcher.arrived(request("a"), now);
        assertEquals(0, attempts.size());
        runScheduled();
        assertEquals(0, attempts.size(), "news may still lie unread");
        lastPollAge = 5 * MS;
        runScheduled();
        assertEquals(1, attempts.size());
    }

    @Test
    void requestWhoseAttemptCannotBeginIsAnsweredInTime() {
        connectServers();
        lastPollAge = 1_500 * MS;
        dispatcher.arrived(request("a"), now);
        now += 1_010 * MS;
        runScheduled();
        assertEquals(1, answers.size());
        assertEquals(0, attempts.size());
    }

    private void runScheduled() {
        for (int count = scheduled.size(); count > 0; count--) {
            scheduled.remove().run();
        }
    }

    @Test
    void exceptionInADueTaskAffectsNoOtherRequest() {
        connectServers();
        dispatcher.arrived(request("faulty"), now);
        dispatcher.arrived(request("b"), now);
        now += 1_001 * MS;
        dispatcher.arrived(request("c"), now);
        assertEquals(List.of("faulty failed", "b failed"), answers);
        assertEquals(3, attempts.size());
    }

    @Test
    void requestReadLateGetsOnlyItsRemainingTime() {
        connectServers();
        dispatcher.arrived(request("a"), now - 800 * MS);
        now += 500 * MS;
        dispatcher.arrived(request("b"), now - 1_300 * MS);
        assertEquals(List.of("a failed", "b refused"), answers, "one fails 0.3 s after its deadline, the other has no time left");
        assertEquals(1, attempts.size());
        assertNull(attempts.get(0).carrier);
    }

    @Test
    void timerQueueKeepsOrderAndRemovesCancelledEntries() {
        TimerQueue agenda = new TimerQueue();
        List<Integer> executed = new ArrayList<>();
        agenda.add(20, () -> executed.add(2));
        agenda.add(10, () -> executed.add(0));
        TimerQueue.Entry cancelled = agenda.add(15, () -> executed.add(9));
        agenda.add(10, () -> executed.add(1));
        cancelled.cancel();
        assertEquals(10, agenda.nextAt());
        assertNull(agenda.pollDue(9));
        for (TimerQueue.Entry entry = agenda.pollDue(20); entry != null; entry = agenda.pollDue(20)) {
            entry.run();
        }
        assertEquals(List.of(0, 1, 2), executed);
        assertEquals(Long.MAX_VALUE, agenda.nextAt());
    }
}
