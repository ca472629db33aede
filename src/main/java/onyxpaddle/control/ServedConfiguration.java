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
 * The configuration that a control process serves, all of which is durable on its own disk, and the decision how to answer each request.
 * Does no I/O. Times are nanoseconds of a monotonic clock. Not thread-safe.
 */
final class ServedConfiguration {
    /** Approximate maximum size of an answer, unless a single version is larger; takes a client 2 s at 2 MB/s. */
    static final long MAX_PAGE_BYTES = 4L << 20;
    /** Larger answers are rate-limited like full updates; a node's traffic budget for 8 s is 24 KB. */
    static final long PACING_THRESHOLD_BYTES = 64L << 10;

    /** How to answer a request for configuration. */
    sealed interface Reply permits Deliver, Wait, RetryLater {
    }

    /** Answer now with this update. */
    record Deliver(Update update) implements Reply {
    }

    /** Hold the request until there is a newer version for it. */
    record Wait() implements Reply {
    }

    /** Ask the caller to retry after this time. */
    record RetryLater(long waitNanos, String reason) implements Reply {
    }

    private static final long NO_STATE_RETRY_NANOS = TimeUnit.SECONDS.toNanos(1);

    private final boolean publisher;
    private final PublisherFence fence;
    private final FullUpdatePacer pacer;
    private ConfigurationTable table;
    private boolean serving;
    private boolean lostChanges;
    private boolean publisherContacted;
    private long publisherContactAt;

    /**
     * @param epoch the epoch of a publisher; 0 for a replica
     * @param highestEpoch the highest epoch that this process has seen
     * @param table the table on disk
     * @param serving whether the table may be served at once; else only after an equal or newer version has been received
     */
    ServedConfiguration(long epoch, long highestEpoch, ConfigurationTable table, boolean serving, long fullUpdateBytesPerSecond) {
        publisher = epoch > 0;
        fence = new PublisherFence(epoch, Math.max(highestEpoch, table.version().epoch()));
        pacer = new FullUpdatePacer(fullUpdateBytesPerSecond);
        this.table = table;
        this.serving = serving && table.version().epoch() > 0;
    }

    ConfigurationTable table() {
        return table;
    }

    /** Returns the version served; {@code NONE} while nothing is served. */
    ConfigurationVersion version() {
        return serving ? table.version() : ConfigurationVersion.NONE;
    }

    /** Serves a table that has become durable. */
    void install(ConfigurationTable next) {
        table = next;
        serving = true;
    }

    /** Called on a replica that is up to date with a process whose own last contact to the publisher was {@code staleMs} ago. */
    void recordPublisherContact(long staleMs, long now) {
        serving = table.version().epoch() > 0;
        if (staleMs < 0) {
            return;
        }
        long contactAt = now - TimeUnit.MILLISECONDS.toNanos(staleMs);
        publisherContactAt = publisherContacted && publisherContactAt - contactAt > 0 ? publisherContactAt : contactAt;
        publisherContacted = true;
    }

    /** As in {@link Update}. A fenced publisher reports no contact to a publisher, so that its callers switch at once. */
    long staleMs(long now) {
        if (publisher && !publishingStopped()) {
            return 0;
        }
        return publisherContacted ? TimeUnit.NANOSECONDS.toMillis(now - publisherContactAt) : Update.NO_PUBLISHER_CONTACT;
    }

    /**
     * Takes note of a version that a caller holds.
     *
     * @return whether its epoch is higher than all seen before, and must be persisted
     */
    boolean observe(ConfigurationVersion held) {
        // Only this publisher makes versions of its epoch: one later than its last was made before its disk lost it.
        lostChanges |= publisher && held.epoch() == table.version().epoch() && held.isAfter(table.version());
        return fence.observe(held.epoch());
    }

    /** Whether this publisher must not publish any more. */
    boolean publishingStopped() {
        return fence.fenced() || lostChanges;
    }

    /** Why {@link #publishingStopped}. */
    String stopReason() {
        return fence.fenced() ? "a publisher of epoch " + fence.highestEpoch() + " has been seen: this one is fenced"
            : "a caller holds a later version than this publisher: its disk has lost changes; take over with a higher epoch";
    }

    long highestEpoch() {
        return fence.highestEpoch();
    }

    /** Decides how to answer a request; {@code mayWait} is false once its waiting time has passed. */
    Reply reply(ConfigurationRequest request, boolean mayWait, long now) {
        if (!serving) {
            return new RetryLater(NO_STATE_RETRY_NANOS, "no configuration to serve yet");
        }
        Update update = request.pageOf() == null ? table.deltaSince(request.after(), request.subscription(), staleMs(now))
            : table.remainingFullUpdate(request.after(), request.pageOf(), request.subscription(), staleMs(now));
        boolean ahead = request.after().isAfter(table.version());
        if (mayWait && !ahead && !update.full() && update.entries().isEmpty() && request.pageOf() == null
                && !table.hasChangesSince(request.after(), request.subscription())) {
            return new Wait();
        }
        Update page = UpdatePager.firstPage(update, MAX_PAGE_BYTES);
        long bytes = UpdatePager.estimatedBytes(page);
        if ((page.full() || bytes > PACING_THRESHOLD_BYTES) && pacer.request(request.callerName(), bytes, now) instanceof Deferred delay) {
            return new RetryLater(delay.waitNanos(), "full updates are rate-limited");
        }
        return new Deliver(page);
    }
}
