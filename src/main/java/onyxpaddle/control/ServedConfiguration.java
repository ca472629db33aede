package onyxpaddle.control;

import java.util.concurrent.TimeUnit;
import onyxpaddle.distribution.ConfigurationTable;
import onyxpaddle.distribution.ConfigurationVersion;
import onyxpaddle.distribution.PublisherFence;
import onyxpaddle.distribution.Update;
import onyxpaddle.distribution.UpdatePager;
import onyxpaddle.distribution.FullUpdatePacer;
import onyxpaddle.distribution.FullUpdatePacer.Deferred;

/**
 * Decides what a control process answers: what it tells is durable on its own disk. Does no I/O; times are nanoseconds of a
 * clock that does not go back. For one thread.
 */
final class ServedConfiguration {
    /** About the most bytes of one answer, if no single version has more: a client on a line of 2 MB/s has it in 2 s. */
    static final long PAGE_BYTES = 4L << 20;
    /** Answers from this size on are paced like wholes; a node's budget for 8 s is 24 KB. */
    static final long PACED_BYTES = 64L << 10;

    /** What becomes of a call for configuration. */
    sealed interface Reply permits Tell, Wait, NotNow {
    }

    /** Is answered now. */
    record Tell(Update update) implements Reply {
    }

    /** There is no news for it yet. */
    record Wait() implements Reply {
    }

    /** Is to be asked again after this time. */
    record NotNow(long waitNanos, String why) implements Reply {
    }

    private static final long NO_STATE_WAIT_NANOS = TimeUnit.SECONDS.toNanos(1);

    private final boolean publisher;
    private final PublisherFence fence;
    private final FullUpdatePacer pacer;
    private ConfigurationTable table;
    private boolean begun;
    private boolean lostChanges;
    private boolean heard;
    private long heardPublisherAt;

    /**
     * @param epoch 0 for a replica
     * @param highestEpoch that was ever seen here
     * @param table what is on disk
     * @param begun whether that may be told already; else only after something newer or level was heard
     */
    ServedConfiguration(long epoch, long highestEpoch, ConfigurationTable table, boolean begun, long wholeBytesPerSecond) {
        publisher = epoch > 0;
        fence = new PublisherFence(epoch, Math.max(highestEpoch, table.version().epoch()));
        pacer = new FullUpdatePacer(wholeBytesPerSecond);
        this.table = table;
        this.begun = begun && table.version().epoch() > 0;
    }

    ConfigurationTable table() {
        return table;
    }

    /** The version told; {@code NONE} while nothing is. */
    ConfigurationVersion version() {
        return begun ? table.version() : ConfigurationVersion.NONE;
    }

    /** What has been made durable. */
    void durable(ConfigurationTable next) {
        table = next;
        begun = true;
    }

    /** A replica has heard of somebody whose news of the publisher is this old, and holds all that was told. */
    void heard(long staleMs, long now) {
        begun = table.version().epoch() > 0;
        if (staleMs < 0) {
            return;
        }
        long at = now - TimeUnit.MILLISECONDS.toNanos(staleMs);
        heardPublisherAt = heard && heardPublisherAt - at > 0 ? heardPublisherAt : at;
        heard = true;
    }

    /** As in {@link Update}. A fenced publisher is none, and has heard of none: its callers look elsewhere at once. */
    long staleMs(long now) {
        if (publisher && !stopped()) {
            return 0;
        }
        return heard ? TimeUnit.NANOSECONDS.toMillis(now - heardPublisherAt) : Update.NO_PUBLISHER_CONTACT;
    }

    /**
     * A caller names a version that it holds.
     *
     * @return whether an epoch was seen that is higher than all before, and is to be kept on disk
     */
    boolean hear(ConfigurationVersion held) {
        // A publisher tells only its own versions: one of its epoch beyond its last is of before its disk lost it.
        lostChanges |= publisher && held.epoch() == table.version().epoch() && held.isAfter(table.version());
        return fence.observe(held.epoch());
    }

    /** Whether this publisher may publish no more. */
    boolean stopped() {
        return fence.fenced() || lostChanges;
    }

    /** Why it may not. */
    String stoppedWhy() {
        return fence.fenced() ? "a publisher of epoch " + fence.highestEpoch() + " has been seen: this one is fenced"
            : "a caller holds a later version than this publisher made: its disk has lost changes; take over with a higher epoch";
    }

    long highestEpoch() {
        return fence.highestEpoch();
    }

    /** How to answer a call; {@code mayWait}: false once its time has passed. */
    Reply reply(ConfigurationRequest request, boolean mayWait, long now) {
        if (!begun) {
            return new NotNow(NO_STATE_WAIT_NANOS, "no state yet");
        }
        Update update = request.pageOf() == null ? table.deltaSince(request.after(), request.subscription(), staleMs(now))
            : table.remainingFullUpdate(request.after(), request.pageOf(), request.subscription(), staleMs(now));
        boolean ahead = request.after().isAfter(table.version());
        if (mayWait && !ahead && !update.full() && update.entries().isEmpty() && request.pageOf() == null
                && !table.hasChangesSince(request.after(), request.subscription())) {
            return new Wait();
        }
        Update page = UpdatePager.firstPage(update, PAGE_BYTES);
        long bytes = UpdatePager.estimatedBytes(page);
        if ((page.full() || bytes > PACED_BYTES) && pacer.request(request.caller(), bytes, now) instanceof Deferred later) {
            return new NotNow(later.waitNanos(), "whole answers are paced");
        }
        return new Tell(page);
    }
}
