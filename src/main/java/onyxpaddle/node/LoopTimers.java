package onyxpaddle.node;

import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/** Timers of a dispatcher on its event loop: the dispatcher runs what is due between any two events, else the loop's own timer does. */
final class LoopTimers {
    private final Clock clock;
    private final ScheduledExecutorService loop;
    private final TimerQueue queue = new TimerQueue();
    private long wakeUpAt = Long.MAX_VALUE;
    private boolean running;

    LoopTimers(Clock clock, ScheduledExecutorService loop) {
        this.clock = clock;
        this.loop = loop;
    }

    /** Adds a task; the loop is woken for it from the next {@link #runDue} on. */
    TimerQueue.Entry add(long at, Runnable task) {
        return queue.add(at, task);
    }

    /** Runs due tasks. A call from within one of them has no effect, as the outer one goes on. */
    void runDue() {
        if (running) {
            return;
        }
        running = true;
        try {
            for (TimerQueue.Entry due = queue.pollDue(clock.now()); due != null; due = queue.pollDue(clock.now())) {
                run(due);
            }
        } finally {
            running = false;
        }
        long next = queue.nextAt();
        if (next < wakeUpAt) {
            wakeUpAt = next;
            loop.schedule(() -> onWakeUp(next), next - clock.now(), TimeUnit.NANOSECONDS);
        }
    }

    private static void run(TimerQueue.Entry due) {
        try {
            due.run();
        } catch (RuntimeException e) {
            // This may run within the arrival of an unrelated request, which must not fail for it.
            Log.failure("timer task failed", e);
        }
    }

    private void onWakeUp(long scheduledAt) {
        if (wakeUpAt == scheduledAt) {
            wakeUpAt = Long.MAX_VALUE;
        }
        runDue();
    }
}
