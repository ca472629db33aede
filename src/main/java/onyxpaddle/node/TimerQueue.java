package onyxpaddle.node;

import java.util.Comparator;
import java.util.TreeSet;

/**
 * Pending timers of a dispatcher, ordered by due time. It does no I/O and schedules nothing itself: its owner runs what is due
 * between any two events, and at the latest at {@link #nextAt}. An event loop by itself runs its timers only after it has
 * processed everything it has read, which on a node short of processor time is a second of work. The size is bounded by the
 * requests and attempts in progress: cancelled entries are removed at once.
 */
final class TimerQueue {
    private final TreeSet<Entry> entries = new TreeSet<>(Comparator.comparingLong((Entry i) -> i.at).thenComparingLong(i -> i.sequence));
    private long nextSequence;

    /** A task to be run at a given time. */
    final class Entry {
        private final long at;
        private final long sequence;
        private final Runnable task;

        private Entry(long at, long sequence, Runnable task) {
            this.at = at;
            this.sequence = sequence;
            this.task = task;
        }

        void cancel() {
            entries.remove(this);
        }

        void run() {
            task.run();
        }
    }

    /** Schedules a task; tasks with the same time run in the order in which they were added. */
    Entry add(long at, Runnable task) {
        Entry entry = new Entry(at, nextSequence++, task);
        entries.add(entry);
        return entry;
    }

    /** Removes and returns the first entry that is due; null for none. */
    Entry pollDue(long now) {
        return nextAt() <= now ? entries.pollFirst() : null;
    }

    /** When the first entry is due; {@link Long#MAX_VALUE} if there is none. */
    long nextAt() {
        return entries.isEmpty() ? Long.MAX_VALUE : entries.first().at;
    }
}
