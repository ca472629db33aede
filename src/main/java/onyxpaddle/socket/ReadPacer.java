package onyxpaddle.socket;

import java.util.ArrayDeque;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/**
 * Lets the connections of an event loop whose input is costly to decode take turns, a bounded number in each turn of the loop, so that
 * they take a bounded part of its time however many they are. Used on the event loop only.
 */
final class ReadPacer {
    static final int READS_PER_TURN = 16;
    private static final long NEXT_TURN_MS = 1;

    private final ScheduledExecutorService loop;
    private final ArrayDeque<Reading> waiting = new ArrayDeque<>();

    ReadPacer(ScheduledExecutorService loop) {
        this.loop = loop;
    }

    /** Pauses a connection until its next turn. */
    void await(Reading reading) {
        if (!reading.pause(ReadPause.TURN_SHARE)) {
            return;
        }
        if (waiting.isEmpty()) {
            scheduleTurn();
        }
        waiting.add(reading);
    }

    private void scheduleTurn() {
        loop.schedule(this::turn, NEXT_TURN_MS, TimeUnit.MILLISECONDS);
    }

    private void turn() {
        for (int reads = 0; reads < READS_PER_TURN && !waiting.isEmpty(); reads++) {
            waiting.poll().resume(ReadPause.TURN_SHARE);
        }
        if (!waiting.isEmpty()) {
            scheduleTurn();
        }
    }
}
