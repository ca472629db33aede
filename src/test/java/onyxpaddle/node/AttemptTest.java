package onyxpaddle.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.util.concurrent.DefaultPromise;
import io.netty.util.concurrent.ImmediateEventExecutor;
import java.util.List;
import onyxpaddle.BalancerApi.Effect;
import onyxpaddle.BalancerApi.KeyGroup;
import onyxpaddle.BalancerApi.RequestClass;
import org.junit.jupiter.api.Test;

class AttemptTest {
    private static Attempt attempt(RequestCounts tally) {
        RequestClass book = new RequestClass("book", Effect.UNSAFE, KeyGroup.ALL, 0, 0, 0, 0, 1, 0, false);
        Exchange exchange = new Exchange(new Exchange.Terms("r1", book, 1, null, 0, false), null, null, null);
        return new Attempt(exchange, 0, "s1", 0, 1, tally);
    }

    /** A write is complete once the system has its bytes; its listeners may be notified only after a reset has been read. */
    @Test
    void completedWriteCountsBeforeItsListenersAreNotified() {
        RequestCounts tally = new RequestCounts(List.of("book"));
        Attempt attempt = attempt(tally);
        DefaultPromise<Void> write = new DefaultPromise<>(ImmediateEventExecutor.INSTANCE);
        attempt.setLastWrite(write);
        assertFalse(attempt.written());
        write.setSuccess(null);
        assertTrue(attempt.written());
        attempt.markWritten();
        assertEquals(1, tally.attempts());
    }

    @Test
    void failedWriteDoesNotCountAsWritten() {
        Attempt attempt = attempt(new RequestCounts(List.of("book")));
        DefaultPromise<Void> write = new DefaultPromise<>(ImmediateEventExecutor.INSTANCE);
        attempt.setLastWrite(write);
        write.setFailure(new java.io.IOException("reset"));
        assertFalse(attempt.written());
    }
}
