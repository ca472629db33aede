package onyxpaddle.socket;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.util.concurrent.FastThreadLocal;
import java.io.IOException;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import onyxpaddle.node.ArrivalBound;
import onyxpaddle.node.Clock;
import onyxpaddle.node.SocketBuffers;

/**
 * A connection that can be polled at any time, before the event loop gets to its socket, for data or for a close by its peer. Data
 * read by a poll passes through the pipeline in order, as if the event loop had read it.
 *
 * <p>This narrows races between the event loop and the peer: an attempt begun, by a loop that is behind, for a caller that has
 * left; a close of an idle connection on which a request has arrived; a request written to a connection that its server has
 * closed. Each poll costs a read. A peer that shuts down only its sending side (half-close) counts as one that has closed, here
 * and in Netty's own reads: the protocols define a caller that closes as gone, and no other use of a half-close. Used on the
 * event loop only.
 */
public final class PollableChannel extends NioSocketChannel {
    /** Bound on the prefetched bytes; a poll does not see the close of a peer that has sent more than this. */
    private static final int MAX_PREFETCH = 4 * SocketBuffers.READ_SIZE;
    /** What a connection may always prefetch. */
    private static final int MIN_PREFETCH = 2 * 1024;
    /** Bound on what all connections of an event loop prefetch beyond {@link #MIN_PREFETCH} each, in bytes. */
    private static final int MAX_SHARED_PREFETCH = 2 << 20;

    private static final FastThreadLocal<PrefetchTotal> PREFETCH_TOTAL = new FastThreadLocal<>() {
        @Override
        protected PrefetchTotal initialValue() {
            return new PrefetchTotal();
        }
    };

    /** A read that takes more steps to decode counts as costly. */
    private static final int MAX_CHEAP_STEPS = 64;

    /** One for each event loop, which is one thread. */
    private static final FastThreadLocal<ReadPacer> PACER = new FastThreadLocal<>();

    /** A peer that had not closed so long ago is not polled again; a twentieth of the 0.1 s in which an attempt may follow a close. */
    static final long MAX_OPEN_AGE = 5_000_000L;
    /** Where a poll can't tell, a peer that had not closed so long ago counts as open; half of that time. */
    static final long MAX_HIDDEN_AGE = 50_000_000L;

    /** The result of a poll. */
    public enum PollResult {
        NOTHING,
        /** There is data that the pipeline has not received yet. */
        BYTES,
        /** The connection was closed or reset by the peer, or closed by this side. */
        END
    }

    /** The bytes that the connections of one event loop hold prefetched. */
    private static final class PrefetchTotal {
        private int bytes;
    }

    /** Data read by polls that the pipeline has not received yet; null for none. */
    private ByteBuf prefetched;
    private final Clock clock;
    private final ArrivalBound arrival;
    private final ReadSize readSize = new ReadSize();
    private final Reading reading = new Reading(config());
    /** What was read last was costly to decode. */
    private boolean costly;
    private long prefetchedBound;
    private long deliveredBound;
    private boolean endOfStream;
    private final PeerPresence presence;

    /** Creates a channel to be connected. */
    public PollableChannel(Clock clock) {
        this.clock = clock;
        deliveredBound = clock.now();
        arrival = new ArrivalBound(deliveredBound);
        presence = new PeerPresence(deliveredBound);
        config().setRecvByteBufAllocator(readSize);
    }

    /** Wraps a connection accepted by a listener; {@code bound}: a time before which it was not established. */
    public PollableChannel(Channel listener, SocketChannel accepted, Clock clock, long bound) {
        super(listener, accepted);
        this.clock = clock;
        arrival = new ArrivalBound(bound);
        deliveredBound = bound;
        presence = new PeerPresence(bound);
        config().setRecvByteBufAllocator(readSize);
    }

    // ---- pauses of reading ----

    /** Whether it is read. */
    public Reading reading() {
        return reading;
    }

    /** Whether its reading paused before the last read for the turns of others. */
    public boolean tookTurns() {
        return costly;
    }

    /** Tells that what was read last took so many steps to decode. If that is much, other connections have their turn before the next read. */
    public void decoded(int steps) {
        costly = steps > MAX_CHEAP_STEPS;
        readSize.setCostly(costly);
        if (costly) {
            pacer().await(reading);
        }
    }

    private ReadPacer pacer() {
        ReadPacer pacer = PACER.get();
        if (pacer == null) {
            pacer = new ReadPacer(eventLoop());
            PACER.set(pacer);
        }
        return pacer;
    }

    // ---- arrivals and polls ----

    /** A time before which the data that the pipeline received last cannot have arrived. */
    public long arrivalBound() {
        return deliveredBound;
    }

    /** A time before which the data that the pipeline receives next has not arrived. */
    public long nextArrivalBound() {
        return prefetched == null ? nextBound() : prefetchedBound;
    }

    /** Whether the event loop's polls report data on it. */
    private boolean watched() {
        if (!isRegistered()) {
            return false;
        }
        SelectionKey key = registration().attachment();
        return key.isValid() && (key.interestOps() & SelectionKey.OP_READ) != 0;
    }

    /** A lower bound of the arrival of what is read next from the socket. */
    private long nextBound() {
        return arrival.get(watched() ? clock.lastPoll() : Long.MIN_VALUE);
    }

    private void recordRead(long startedAt, long bound, int count, int capacity) {
        boolean emptied = count < capacity;
        arrival.read(startedAt, emptied, clock.turnStart());
        if (count >= 0) {
            presence.read(startedAt, bound, count, emptied);
        }
    }

    /** Whether the peer has closed. Polls the socket, unless what was read of it last proves that it was open a moment ago. */
    public boolean isEnded() {
        if (isActive() && clock.now() - presence.presentAt() <= MAX_OPEN_AGE) {
            return false;
        }
        return poll() == PollResult.END;
    }

    /** Whether the peer may have closed some time ago, behind bytes that a poll does not reach; {@link #isEnded} was false. */
    public boolean mayHideEnd() {
        return clock.now() - presence.presentAt() > MAX_HIDDEN_AGE;
    }

    /** Polls the socket. At the end of the connection the channel is closed, which the pipeline is told as usual. */
    public PollResult poll() {
        return poll(MAX_PREFETCH);
    }

    /** As {@link #poll}, but reads few bytes only: {@code END} is not found behind more than these. */
    public PollResult pollBriefly() {
        return poll(MIN_PREFETCH);
    }

    private PollResult poll(int limit) {
        if (!isActive()) {
            return PollResult.END;
        }
        boolean ended;
        try {
            ended = readAhead(limit);
        } catch (IOException e) {
            // A reset ends the connection like a close.
            ended = true;
        }
        if (ended) {
            releasePrefetched();
            close();
            return PollResult.END;
        }
        return prefetched == null ? PollResult.NOTHING : PollResult.BYTES;
    }

    /** How many bytes may be prefetched now, of {@code limit}. */
    private static int maxPrefetch(int limit) {
        return PREFETCH_TOTAL.get().bytes < MAX_SHARED_PREFETCH ? limit : Math.min(limit, MIN_PREFETCH);
    }

    /** Reads the available data, up to the limit; returns whether the end of the stream was reached. */
    private boolean readAhead(int limit) throws IOException {
        ByteBuf into = alloc().buffer(Math.min(limit, SocketBuffers.READ_SIZE));
        try {
            while (prefetched == null || prefetched.readableBytes() < maxPrefetch(limit)) {
                long startedAt = clock.now();
                long bound = nextBound();
                int count = into.clear().writeBytes(javaChannel(), into.capacity());
                recordRead(startedAt, bound, count, into.capacity());
                if (count <= 0) {
                    return count < 0;
                }
                if (prefetched == null) {
                    prefetched = alloc().buffer(count);
                    prefetchedBound = bound;
                    eventLoop().execute(this::deliverPrefetched);
                }
                // Bytes that the pipeline has received already must not stay in memory, however often a poll adds some.
                prefetched.discardReadBytes().writeBytes(into);
                PREFETCH_TOTAL.get().bytes += count;
            }
            return false;
        } finally {
            into.release();
        }
    }

    /** Lets the pipeline read the prefetched data, unless reading is paused. */
    private void deliverPrefetched() {
        if (prefetched != null && isOpen() && config().isAutoRead()) {
            unsafe().read();
            if (prefetched != null) {
                eventLoop().execute(this::deliverPrefetched);
            }
        }
    }

    @Override
    protected void doBeginRead() throws Exception {
        if (!watched()) {
            arrival.watched(clock.now());
        }
        super.doBeginRead();
        if (prefetched != null) {
            eventLoop().execute(this::deliverPrefetched);
        }
    }

    @Override
    protected int doReadBytes(ByteBuf to) throws Exception {
        if (prefetched == null) {
            return readSocket(to);
        }
        deliveredBound = prefetchedBound;
        int count = Math.min(prefetched.readableBytes(), to.writableBytes());
        unsafe().recvBufAllocHandle().attemptedBytesRead(to.writableBytes());
        to.writeBytes(prefetched, count);
        PREFETCH_TOTAL.get().bytes -= count;
        if (!prefetched.isReadable()) {
            releasePrefetched();
        }
        return count;
    }

    private int readSocket(ByteBuf to) throws Exception {
        long startedAt = clock.now();
        int capacity = to.writableBytes();
        deliveredBound = nextBound();
        int count = super.doReadBytes(to);
        endOfStream = count < 0;
        recordRead(startedAt, deliveredBound, count, capacity);
        return count;
    }

    /**
     * Whether the peer has ended the stream in order and the pipeline has received all of it. Not so if the connection was reset, or if
     * this side closed it.
     */
    public boolean isEndOfStream() {
        return endOfStream;
    }

    /** The size of the buffer of prefetched bytes; 0 for none. */
    int prefetchCapacity() {
        return prefetched == null ? 0 : prefetched.capacity();
    }

    private void releasePrefetched() {
        if (prefetched != null) {
            PREFETCH_TOTAL.get().bytes -= prefetched.readableBytes();
            prefetched.release();
            prefetched = null;
        }
    }

    @Override
    protected void doClose() throws Exception {
        releasePrefetched();
        super.doClose();
    }
}
