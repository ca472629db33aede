package onyxpaddle.node;

import io.netty.util.concurrent.Future;

/** One sending of a request to a server. It ends exactly once, by {@link Dispatcher#ended}. */
public final class Attempt {
    public final Exchange exchange;
    final int number;
    public final String server;
    /** When it was sent; of a body that is passed on as it comes, when its last byte was. */
    long sentAt;
    /** When it is given up, by the node's clock in nanoseconds. */
    public long until;
    TimerQueue.Item timer;
    /** What carries it, such as a dial or a connection: the upstream's own, null before and after. */
    public Object carrier;
    private final RequestCounts tally;
    private Future<?> setLastWrite;
    private boolean written;
    boolean ended;
    /** It has ended, and the server has certainly not run it. */
    boolean neverRan;

    Attempt(Exchange exchange, int number, String server, long sentAt, long until, RequestCounts tally) {
        this.exchange = exchange;
        this.number = number;
        this.server = server;
        this.sentAt = sentAt;
        this.until = until;
        this.tally = tally;
    }

    /** The write that has the request's last byte. */
    public void setLastWrite(Future<?> last) {
        setLastWrite = last;
    }

    /**
     * The operating system has the request's last byte: from here on the server may run it. The write itself is asked, as those who
     * listen to it may hear so only after a reset or an answer has been read: it would count as never run, and be sent again.
     */
    public boolean written() {
        if (!written && setLastWrite != null && setLastWrite.isSuccess()) {
            markWritten();
        }
        return written;
    }

    /** Says that the last byte is written, once. */
    public void markWritten() {
        if (!written) {
            written = true;
            tally.attemptWritten();
        }
    }

    public boolean ended() {
        return ended;
    }
}
