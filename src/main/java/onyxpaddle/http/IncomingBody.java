package onyxpaddle.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import onyxpaddle.node.Body;
import onyxpaddle.node.Caller;
import onyxpaddle.node.Clock;
import onyxpaddle.node.Exchange;
import onyxpaddle.node.SocketBuffers;
import onyxpaddle.node.Upload;

/**
 * The body of one request as it comes from its client. It is held whole as long as it is small enough and there is room;
 * beyond that it is passed on as it comes, to the server that is drawn when that much has come, and the client is read as
 * fast as that server takes it. It ends by {@link Fate#WHOLE}, by its owner's word that the last byte is passed on, or by
 * one of the two drops.
 */
final class IncomingBody {
    /** Of a body that there is no room for, so much must be held for it to be passed on as it comes. */
    private static final int LEAST_HELD = 16 * 1024;
    /** What each byte that has come allows it to take longer: 64 kB/s, and an eighth for the way. */
    private static final long FOR_EACH_BYTE = 1_000_000_000L / 56_000;

    /** What becomes of it with the bytes that were added. */
    enum Fate {
        /** It goes on, held or passed on. */
        MORE,
        /** It is whole and held: {@link #exchange} is ready. */
        WHOLE,
        TOO_LARGE,
        /** Nothing was sent on that a server could run: the client may try again when there is room. */
        NO_ROOM,
        /** It can't be sent on, or its request's id is open already. */
        UNSOUND
    }

    private final RoutedRequest taken;
    private final Channel channel;
    private final Clock clock;
    private final Caller caller;
    private final Runnable onPassedOn;
    private final Body body;
    private long received;
    private Exchange exchange;
    /** Null as long as all of it is held. */
    private Upload upload;
    /** What came when there was no more room, until an attempt takes it; null for none. */
    private ByteBuf beyond;
    private boolean beyondIsLast;
    private long pausedAt;
    private long pausedFor;
    /** The last byte has come, or it is dropped. */
    private boolean over;

    /** {@code onPassedOn}: the last byte of a body that was passed on has come. */
    IncomingBody(RoutedRequest taken, Channel channel, Clock clock, Caller caller, Runnable onPassedOn) {
        this.taken = taken;
        this.channel = channel;
        this.clock = clock;
        this.caller = caller;
        this.onPassedOn = onPassedOn;
        this.body = new Body(taken.bytes(), Math.min(taken.length(), taken.held()), taken.largest());
    }

    /** The request, once it is whole or passed on. */
    Exchange exchange() {
        return exchange;
    }

    /** Whether its client is read no further, until the server that takes it has room. */
    boolean pauses() {
        return pausedAt > 0;
    }

    /** Whether it is passed on and its last byte has not come. */
    boolean passing() {
        return upload != null && !over;
    }

    /** How long it may take since its request's first byte, beyond what a head may: paused reads are not the client's. */
    boolean late(long spent, long longestHead) {
        return pausedAt == 0 && spent - pausedFor > longestHead + received * FOR_EACH_BYTE;
    }

    Fate add(ByteBuf bytes, boolean last) {
        received += bytes.readableBytes();
        if (received > taken.largest()) {
            return Fate.TOO_LARGE;
        } else if (upload != null) {
            return more(bytes, last) ? Fate.MORE : Fate.NO_ROOM;
        } else if (received <= taken.held() && body.add(bytes)) {
            return last ? whole() : Fate.MORE;
        } else if (taken.whole() || received <= taken.held() && body.size() < LEAST_HELD) {
            return Fate.NO_ROOM;
        } else if (taken.pool().hasRequest(taken.terms().id())) {
            return Fate.UNSOUND;
        }
        passOn(bytes, last);
        return Fate.MORE;
    }

    private Fate whole() {
        if (taken.pool().hasRequest(taken.terms().id()) || !taken.sound().test(body)) {
            return Fate.UNSOUND;
        }
        over = true;
        exchange = new Exchange(taken.terms(), taken.head(), body, caller);
        return Fate.WHOLE;
    }

    /** It is larger than what is held, or there is no room to hold it: what follows goes on as it comes. */
    private void passOn(ByteBuf bytes, boolean last) {
        beyond = SocketBuffers.kept(bytes, channel.alloc());
        beyondIsLast = last;
        upload = new Upload(taken.length(), this::read);
        exchange = new Exchange(taken.terms(), taken.head(), body, caller, upload);
        read(false);
        taken.pool().arrived(exchange, clock.earliestArrival());
    }

    /** Reads on or not, as the server that takes the body has room. */
    private void read(boolean on) {
        if (!over && on && beyond != null) {
            // An attempt takes what comes: this came first, and there was no room to hold it.
            ByteBuf first = beyond;
            beyond = null;
            more(first, beyondIsLast);
            first.release();
        }
        if (over) {
            return;
        }
        if (on && pausedAt > 0) {
            pausedFor += clock.now() - pausedAt;
            pausedAt = 0;
        } else if (!on && pausedAt == 0) {
            pausedAt = clock.now();
        }
        channel.config().setAutoRead(on);
    }

    /** More of a body that is passed on; false where it has to be held and there is no room. */
    private boolean more(ByteBuf bytes, boolean last) {
        if (beyond != null) {
            // What was on its way when reading stopped.
            beyond = Unpooled.wrappedBuffer(beyond, SocketBuffers.kept(bytes, channel.alloc()));
            beyondIsLast = last;
            return true;
        }
        boolean attached = upload.attached();
        if (!attached && !body.add(bytes)) {
            return false;
        }
        if (last) {
            over = true;
            onPassedOn.run();
        }
        if (attached) {
            upload.offer(SocketBuffers.kept(bytes, channel.alloc()), last);
            body.release();
        } else if (last) {
            upload.completeHeld();
        }
        return true;
    }

    /** No more has come for now. */
    void flush() {
        if (upload != null) {
            upload.flush();
        }
    }

    /** The client has left, or what it sends is at fault: nothing of it is wanted any more. */
    void drop() {
        if (over) {
            return;
        }
        over = true;
        releaseBeyond();
        if (upload == null) {
            body.release();
        } else {
            taken.pool().clientGone(exchange);
            upload.abort();
        }
    }

    /** The request has its answer before its body was whole; what is held of it is the pool's to release. */
    void answered() {
        if (!over) {
            over = true;
            releaseBeyond();
            upload.abort();
        }
    }

    private void releaseBeyond() {
        if (beyond != null) {
            beyond.release();
            beyond = null;
        }
    }
}
