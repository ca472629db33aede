package onyxpaddle.node;

import static org.junit.jupiter.api.Assertions.assertEquals;

import onyxpaddle.BalancerApi.Effect;
import onyxpaddle.BalancerApi.KeyGroup;
import onyxpaddle.BalancerApi.RequestClass;
import onyxpaddle.node.Exchange.Terms;
import org.junit.jupiter.api.Test;

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

    /** Guards against the promise that a key is recognized, when the servers have forgotten it as its caller comes again. */
    @Test
    void keyIsPromisedOnlyForAsLongAsServersRememberItWhenTheCallerComesAgain() {
        Exchange exchange = exchange(Effect.KEYED, true, false);
        assertEquals(Refusal.REPEATABLE_WITH_KEY, refusal(exchange, KEY_MEMORY - RETRY_AFTER - 1, true));
        assertEquals(Refusal.KEY_MAY_BE_UNKNOWN, refusal(exchange, KEY_MEMORY - RETRY_AFTER, true));
    }

    /** Guards against the promise that a key is recognized, when a server has been listed meanwhile that is not told it. */
    @Test
    void keyIsNotPromisedWhileAServerMayNotBeToldIt() {
        assertEquals(Refusal.KEY_MAY_BE_UNKNOWN, refusal(exchange(Effect.KEYED, false), 0, false));
    }
}
