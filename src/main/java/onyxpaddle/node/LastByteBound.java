package onyxpaddle.node;

import java.util.ArrayDeque;

/**
 * A lower bound of when the last byte of a body can have been written by its caller, from what has been read of it so far. Bytes that
 * are written and not yet read lie in the sockets between the caller and the node. While the node reads less than comes, as a server
 * takes no more or its event loop is late, some of them wait in the caller's: that the node's socket is empty for a moment tells
 * nothing of those. Three observations raise the bound: the socket stayed empty for {@link #QUIET}, it was empty after the node had kept
 * up with its caller for {@link #SETTLED}, or the caller would have to be further ahead than the sockets allow. It does no I/O and gets
 * all times, in nanoseconds of the node's clock.
 */
public final class LastByteBound {
    /** In bytes: Linux lets a socket's send buffer grow to 4 MiB unless it is configured otherwise. */
    static final long MAX_SEND_BUFFER = 4 << 20;
    /** In bytes: what a receive buffer may grow to, likewise. */
    static final long MAX_RECEIVE_BUFFER = 6 << 20;
    /** Bytes of a connection that reach the node's socket without being read: Linux's first receive window. */
    static final long FIRST_WINDOW = 64 * 1024;
    /** Time in which bytes that wait in the caller's socket arrive once the node's has room. */
    static final long QUIET = 20_000_000L;
    /** Time in which all bytes arrive that the caller's socket holds, if the node reads what comes. */
    static final long SETTLED = 100_000_000L;
    /** A caller whose socket holds bytes back fills the node's, so that a turn of the event loop reads at least so many. */
    static final long BACKLOG_READ = 16 * 1024;
    /** Bytes that lay unread for longer, while the event loop was in a turn, came while the node did not keep up. */
    static final long MAX_READ_DELAY = 20_000_000L;
    /** Bytes between two marks. */
    private static final long MARK_DISTANCE = 512 * 1024;

    /** At the time {@code at}, {@code bytes} had been read. */
    private record Mark(long bytes, long at) {
    }

    private final long length;
    /** Null up to {@link #FIRST_WINDOW}, as for most requests. */
    private ArrayDeque<Mark> marks;
    /** In bytes, of the node's socket. */
    private long receiveBuffer = MAX_RECEIVE_BUFFER;
    private long total;
    private long readAt;
    /** Since when the node has kept up with its caller. */
    private long keepsUpSince;
    /** The event loop's turn of the last read, by its start, and how much had been read before it. */
    private long turn;
    private long totalBeforeTurn;
    private long bound;

    /**
     * Creates the bound for a body of which nothing has been read.
     *
     * @param length of the body as announced by the caller, in bytes; -1 if it comes in chunks
     * @param arrivedAt a time before which the request's head did not arrive
     */
    public LastByteBound(long length, long arrivedAt) {
        this.length = length;
        this.bound = arrivedAt;
        this.readAt = arrivedAt;
        this.keepsUpSince = arrivedAt;
    }

    /** The node reads again after it had paused. */
    public void resumed(long now) {
        keepsUpSince = now;
    }

    /**
     * Records that {@code total} bytes of the body had been read at {@code now}, in the event loop's turn that began at {@code turnStart}.
     * The last of them did not arrive before {@code arrivedAt}.
     */
    public void read(long total, long arrivedAt, long turnStart, long now) {
        if (turnStart != turn) {
            turn = turnStart;
            totalBeforeTurn = this.total;
        }
        this.total = total;
        bound = get(arrivedAt, now);
        readAt = now;
        if (total - totalBeforeTurn >= BACKLOG_READ || turnStart - arrivedAt > MAX_READ_DELAY) {
            keepsUpSince = now;
        }
        if (total > FIRST_WINDOW) {
            mark(now);
        }
    }

    private void mark(long now) {
        if (marks == null) {
            marks = new ArrayDeque<>();
        }
        if (marks.isEmpty() || total - marks.peekLast().bytes() >= MARK_DISTANCE) {
            marks.add(new Mark(total, now));
        }
        while (!marks.isEmpty() && isAhead(marks.peekFirst().bytes())) {
            bound = Math.max(bound, marks.poll().at());
        }
    }

    /** Sets the present size of the receive buffer of the node's socket, which the system adapts, in bytes. */
    public void setReceiveBuffer(long bytes) {
        receiveBuffer = bytes;
    }

    /** Returns the bound as known from what has been read. */
    public long get() {
        return bound;
    }

    /** Returns the bound at {@code now}; {@code nextArrival}: a time before which what is read next has not arrived. */
    public long get(long nextArrival, long now) {
        if (isAhead(total)) {
            return now;
        }
        return total <= FIRST_WINDOW || provesEmpty(nextArrival) ? Math.max(bound, nextArrival) : bound;
    }

    /** Whether the caller's socket held nothing when the node's was empty at the time {@code at}. */
    private boolean provesEmpty(long at) {
        return at - Math.max(readAt, keepsUpSince) >= QUIET || at - keepsUpSince >= SETTLED;
    }

    /** Whether the last byte was still out of the sockets' reach when {@code bytes} had been read. */
    private boolean isAhead(long bytes) {
        long atLeast = length >= 0 ? length : total + 1;
        return atLeast - bytes > receiveBuffer + MAX_SEND_BUFFER;
    }
}
