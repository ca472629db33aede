package onyxpaddle.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.lang.reflect.Proxy;
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

/** A loop that never comes to its timers, as it has so much to read: what is due is done between one event and the next. */
class LateLoopTest {
    private static final long MS = 1_000_000L;
    private static final long PATIENCE = 1_000 * MS;
    private long now = 1_700_000_000_000_000_000L;
    private final List<String> answers = new ArrayList<>();
    private final List<Attempt> sent = new ArrayList<>();
    private final Settings settings = settings();
    /** Takes timers and lets none go off. */
    private final ScheduledExecutorService loop = (ScheduledExecutorService) Proxy.newProxyInstance(LateLoopTest.class.getClassLoader(),
        new Class<?>[] {ScheduledExecutorService.class}, (proxy, method, arguments) -> null);
    private final Dispatcher dispatcher = new Dispatcher(new Clock() {
        @Override
        public long now() {
            return now;
        }
    }, loop, new RatioBalancer(settings, 1), settings.limits(), new RequestCounts(List.of("book")));

    private static Settings settings() {
        Map<String, String> pairs = new HashMap<>(Map.of("az", "a", "areas", "a", "quantumS", "0.002", "classes.count", "1", "classes.0.name", "book",
            "classes.0.effect", "non_idempotent", "classes.0.aimS", "0.5", "classes.0.deadlineS", "1", "limits.maxAttempts", "3"));
        return new FlatSettings(pairs).settings();
    }

    private Exchange request(String id) {
        return new Exchange(new Exchange.Terms(id, settings.classes().get(0), PATIENCE, null, 0, false), null,
            new Body(new SharedLimit(1 << 20).join(), 0, 1), new Caller() {
                @Override
                public void served(Answer answer) {
                    answers.add(id + " served");
                }

                @Override
                public void refused(long retryAfter, Answer own) {
                    answers.add(id + " refused");
                }

                @Override
                public void failed(boolean late, Answer own) {
                    answers.add(id + " failed");
                    if (id.equals("faulty")) {
                        throw new IllegalStateException("a front's fault");
                    }
                }
            });
    }

    private void listed() {
        dispatcher.connect(new Upstream() {
            @Override
            public void send(Attempt attempt) {
                attempt.markWritten();
                sent.add(attempt);
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
    void timeOutsComeBetweenEventsAndNotOnlyByTheLoopsTimer() {
        listed();
        dispatcher.arrived(request("a"), now);
        now += 400 * MS;
        dispatcher.arrived(request("b"), now);
        assertEquals(2, sent.size());
        now += 599 * MS;
        dispatcher.arrived(request("c"), now);
        assertEquals(List.of(), answers);
        now += MS;
        dispatcher.arrived(request("d"), now);
        assertEquals(List.of("a failed"), answers, "its second is over, and something else has just happened");
        now += 5_000 * MS;
        dispatcher.arrived(request("e"), now);
        assertEquals(List.of("a failed", "b failed", "c failed", "d failed"), answers);
    }

    @Test
    void aFaultInWhatIsDueCostsNoOtherRequest() {
        listed();
        dispatcher.arrived(request("faulty"), now);
        dispatcher.arrived(request("b"), now);
        now += 1_001 * MS;
        dispatcher.arrived(request("c"), now);
        assertEquals(List.of("faulty failed", "b failed"), answers);
        assertEquals(3, sent.size());
    }

    @Test
    void aRequestThatCameLongBeforeItWasReadHasWhatIsLeftOfItsTime() {
        listed();
        dispatcher.arrived(request("a"), now - 800 * MS);
        now += 500 * MS;
        dispatcher.arrived(request("b"), now - 1_300 * MS);
        assertEquals(List.of("a failed", "b refused"), answers, "one ends 0.3 s after its time, one has no time left");
        assertEquals(1, sent.size());
        assertNull(sent.get(0).carrier);
    }

    @Test
    void agendaKeepsOrderAndForgetsWhatIsCancelled() {
        TimerQueue agenda = new TimerQueue();
        List<Integer> done = new ArrayList<>();
        agenda.add(20, () -> done.add(2));
        agenda.add(10, () -> done.add(0));
        TimerQueue.Item cancelled = agenda.add(15, () -> done.add(9));
        agenda.add(10, () -> done.add(1));
        cancelled.cancel();
        assertEquals(10, agenda.next());
        assertNull(agenda.due(9));
        for (TimerQueue.Item item = agenda.due(20); item != null; item = agenda.due(20)) {
            item.run();
        }
        assertEquals(List.of(0, 1, 2), done);
        assertEquals(Long.MAX_VALUE, agenda.next());
    }
}
