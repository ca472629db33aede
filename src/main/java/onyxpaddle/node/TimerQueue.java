package onyxpaddle.node;

import java.util.Comparator;
import java.util.TreeSet;

/**
 * What a dispatcher has to do at which time. It does no I/O and has no timer of its own: whoever holds it takes what is due, between
 * any two things that happen and at the latest when {@link #next} has come. Guards against a loop that comes to its timers
 * only after all that it has read, which on a node short of processor time is a second of work. Bounded by what is out: what
 * is cancelled is gone.
 */
final class TimerQueue {
    private final TreeSet<Item> items = new TreeSet<>(Comparator.comparingLong((Item i) -> i.at).thenComparingLong(i -> i.number));
    private long count;

    /** Something to be done at a time. */
    final class Item {
        private final long at;
        private final long number;
        private final Runnable task;

        private Item(long at, long number, Runnable task) {
            this.at = at;
            this.number = number;
            this.task = task;
        }

        void cancel() {
            items.remove(this);
        }

        void run() {
            task.run();
        }
    }

    /** At that time, after all that was put down for the same before. */
    Item add(long at, Runnable task) {
        Item item = new Item(at, count++, task);
        items.add(item);
        return item;
    }

    /** The first that is due by now, which is taken off; null for none. */
    Item due(long now) {
        return next() <= now ? items.pollFirst() : null;
    }

    /** When the first is due; {@link Long#MAX_VALUE} for never. */
    long next() {
        return items.isEmpty() ? Long.MAX_VALUE : items.first().at;
    }
}
