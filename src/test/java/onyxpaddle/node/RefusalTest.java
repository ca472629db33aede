package onyxpaddle.node;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.lang.reflect.Proxy;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ScheduledExecutorService;
import onyxpaddle.BalancerApi.Effect;
import onyxpaddle.BalancerApi.KeyGroup;
import onyxpaddle.BalancerApi.ListKind;
import onyxpaddle.BalancerApi.Outcome;
import onyxpaddle.BalancerApi.RequestClass;
import onyxpaddle.BalancerApi.ServerEntry;
import onyxpaddle.BalancerApi.ServerState;
import onyxpaddle.BalancerApi.Settings;
import onyxpaddle.FlatSettings;
import onyxpaddle.RatioBalancer;
import onyxpaddle.node.Exchange.Terms;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** What a refused request's caller is promised. */
class RefusalTest {
    private static final long MS = 1_000_000L;
    private static final long SENT_AT = 1_000 * MS;
    private static final long KEY_MEMORY = 100 * MS;
    private static final long RETRY_AFTER = 10 * MS;

    private static Exchange exchange(Effect effect, boolean... neverRan) {
        RequestClass requestClass = new RequestClass("c", effect, KeyGroup.ALL, effect == Effect.KEYED ? KEY_MEMORY : 0, 0, 0, 0, 1, 0, false);
        Exchange exchange = new Exchange(new Terms("x", requestClass, 5_000 * MS, null, 0, false), null, null, null);
        for (boolean never : neverRan) {
            Attempt attempt = new Attempt(exchange, exchange.attempts.size(), "s", SENT_AT, SENT_AT + 5_000 * MS, null);
            attempt.ended = true;
            attempt.neverRan = never;
            exchange.attempts.add(attempt);
        }
        return exchange;
    }

    private static Refusal refusal(Exchange exchange, long after, boolean keysTold) {
        return exchange.refusal(SENT_AT + after, RETRY_AFTER, keysTold);
    }

    /** Guards against "may have run" of what never ran: callers would not send an unsafe request again. */
    @Test
    void requestWithoutAnAttemptThatMayHaveRunNeverRan() {
        for (Effect effect : Effect.values()) {
            assertEquals(Refusal.NEVER_RAN, refusal(exchange(effect), 0, false));
            assertEquals(Refusal.NEVER_RAN, refusal(exchange(effect, true, true), KEY_MEMORY, false));
        }
    }

    @Test
    void safeRequestThatMayHaveRunIsRepeatable() {
        assertEquals(Refusal.REPEATABLE, refusal(exchange(Effect.SAFE, false, true), 0, false));
    }

    /** Guards against a promise that depends on the balancer alone: it refuses no unsafe request that may have run. */
    @Test
    void unsafeRequestThatMayHaveRunIsNeverPromisedToBeHarmless() {
        assertEquals(Refusal.MAY_RUN_TWICE, refusal(exchange(Effect.UNSAFE, true, false), 0, true));
    }

    /** Guards against the promise that a key is recognized, when the servers have forgotten it as its caller comes again. */
    @Test
    void keyIsPromisedOnlyForAsLongAsServersRememberItWhenTheCallerComesAgain() {
        Exchange exchange = exchange(Effect.KEYED, true, false);
        assertEquals(Refusal.REPEATABLE_WITH_KEY, refusal(exchange, KEY_MEMORY - RETRY_AFTER - 1, true));
        assertEquals(Refusal.MAY_RUN_TWICE, refusal(exchange, KEY_MEMORY - RETRY_AFTER, true));
    }

    /** Guards against the promise that a key is recognized, when a server has been listed meanwhile that is not told it. */
    @Test
    void keyIsNotPromisedWhileAServerMayNotBeToldIt() {
        assertEquals(Refusal.MAY_RUN_TWICE, refusal(exchange(Effect.KEYED, false), 0, false));
    }

    /** Guards against a dispatcher that does not ask, as it refuses a request, whether servers are told its key by now. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void dispatcherAsksWhetherServersAreToldTheKeyAsItRefuses(boolean keysTold) {
        Settings settings = new FlatSettings(Map.of("limits.maxAttempts", "1", "classes.count", "1", "classes.0.name", "book",
            "classes.0.effect", "idempotency_key", "classes.0.memorySpanS", "10", "classes.0.deadlineS", "1")).settings();
        Clock clock = new Clock() {
            @Override
            public long now() {
                return SENT_AT;
            }
        };
        ScheduledExecutorService loop = (ScheduledExecutorService) Proxy.newProxyInstance(RefusalTest.class.getClassLoader(),
            new Class<?>[] {ScheduledExecutorService.class}, (proxy, method, arguments) -> null);
        Dispatcher dispatcher = new Dispatcher(clock, loop, new RatioBalancer(settings, 1), settings.limits(),
            new RequestCounts(List.of("book")));
        List<Attempt> sent = new ArrayList<>();
        dispatcher.connect(new Upstream() {
            @Override
            public boolean tellsKeys(Metadata head) {
                return sent.isEmpty() || keysTold;
            }

            @Override
            public void send(Attempt attempt) {
                sent.add(attempt);
            }

            @Override
            public void giveUp(Attempt attempt) {
            }
        }, () -> { });
        dispatcher.membership(ListKind.ALL, List.of(new ServerEntry("s", "", 0, ServerState.READY, 1, 0)));
        List<Refusal> refusals = new ArrayList<>();
        Caller caller = new Caller() {
            @Override
            public void served(Answer answer) {
            }

            @Override
            public void refused(Refusal refusal, long retryAfter, Answer own) {
                refusals.add(refusal);
            }

            @Override
            public void failed(boolean late, Answer own) {
            }
        };
        dispatcher.arrived(new Exchange(new Terms("x", settings.classes().get(0), 1_000 * MS, null, 0, false), null,
            new Body(new SharedLimit(1 << 20).join(), 0, 1), caller), SENT_AT);
        sent.get(0).markWritten();
        dispatcher.ended(sent.get(0), Outcome.RESET, null);
        assertEquals(List.of(keysTold ? Refusal.REPEATABLE_WITH_KEY : Refusal.MAY_RUN_TWICE), refusals);
    }
}
