package onyxpaddle.node;

import io.netty.util.concurrent.Future;
import onyxpaddle.BalancerApi.Outcome;

/** One attempt to serve a request at a server. It ends exactly once, through {@link Dispatcher#ended}. */
public final class Attempt {
    public final Exchange exchange;
    final int number;
    public final String server;
    /** When it was sent; for a streamed body, when the last byte was sent. */
    long sentAt;
    /** When it times out, by the node's clock in nanoseconds. */
    public long until;
    TimerQueue.Entry timer;
    /** What carries it, such as a pending connect or a connection. Owned by the upstream; null before and after. */
    public Object carrier;
    private final RequestCounts counts;
    private Future<?> lastWrite;
    private boolean written;
    boolean ended;
    /** How it ended; null before. */
    Outcome outcome;
    /** It has ended, and the server has certainly not run the request. */
    boolean neverRan;

    Attempt(Exchange exchange, int number, String server, long sentAt, long until, RequestCounts counts) {
        this.exchange = exchange;
        this.number = number;
        this.server = server;
        this.sentAt = sentAt;
        this.until = until;
        this.counts = counts;
    }

    /** Sets the write that contains the request's last byte. */
    public void setLastWrite(Future<?> last) {
        lastWrite = last;
    }

    /**
     * Whether the operating system has the request's last byte, after which the server may run the request. Checks the write itself,
     * as its listeners may be notified only after a reset or an answer has been read: the request would then count as never run,
     * and would be sent again.
     */
    public boolean written() {
        if (!written && lastWrite != null && lastWrite.isSuccess()) {
            markWritten();
        }
        return written;
    }

    /** Records that the last byte is written; further calls have no effect. */
    public void markWritten() {
        if (!written) {
            written = true;
            counts.attemptWritten();
        }
    }

    public boolean ended() {
        return ended;
    }
}
