package onyxpaddle.socket;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.io.IOException;
import java.nio.channels.SocketChannel;
import onyxpaddle.node.SocketBuffers;

/**
 * A connection that can be asked at any moment, before the loop comes to its socket, whether its peer has sent something or has
 * ended it. What is read that way goes through the pipeline as if it had been read in its turn, and in order.
 *
 * <p>Guards against all that happens between two events that cross: a caller that left while a loop that is behind begins an
 * attempt for it, a close of an idle connection on which a request has come, a request that is written to a connection which its
 * server has closed. It costs a read each time. A peer that ends only its sending counts as one that has closed, here and where
 * Netty reads: the protocols say that a caller which closes has gone, and know no other use of an end (half-close). Used on the
 * event loop alone.
 */
public final class PollableChannel extends NioSocketChannel {
    /** The most that is held of what came ahead of its turn, in bytes: of a peer that has sent more, an end is not seen by this. */
    private static final int MOST_EARLY = 4 * SocketBuffers.READ_SIZE;

    /** What a poll has found. */
    public enum PollResult {
        NOTHING,
        /** Something that the pipeline has not had yet. */
        BYTES,
        /** The peer has closed or reset the connection, or this side has. */
        END
    }

    /** Read ahead of its turn and not handed on yet; null for none. */
    private ByteBuf early;

    /** One to be dialled. */
    public PollableChannel() {
    }

    /** One that a listener has accepted. */
    public PollableChannel(Channel listener, SocketChannel accepted) {
        super(listener, accepted);
    }

    /** Looks at the socket now. At an end the channel is closed, and its pipeline hears so in its turn. */
    public PollResult poll() {
        if (!isActive()) {
            return PollResult.END;
        }
        boolean ended;
        try {
            ended = readAhead();
        } catch (IOException e) {
            // A reset ends it as a close does.
            ended = true;
        }
        if (ended) {
            drop();
            close();
            return PollResult.END;
        }
        return early == null ? PollResult.NOTHING : PollResult.BYTES;
    }

    /** Takes in what has come; whether it is the last. */
    private boolean readAhead() throws IOException {
        ByteBuf into = alloc().directBuffer(SocketBuffers.READ_SIZE);
        try {
            while (early == null || early.readableBytes() < MOST_EARLY) {
                int count = into.clear().writeBytes(javaChannel(), into.capacity());
                if (count <= 0) {
                    return count < 0;
                }
                if (early == null) {
                    early = alloc().buffer(count);
                    eventLoop().execute(this::handOn);
                }
                early.writeBytes(into);
            }
            return false;
        } finally {
            into.release();
        }
    }

    /** Has the pipeline read what came early, unless it reads nothing just now. */
    private void handOn() {
        if (early != null && isOpen() && config().isAutoRead()) {
            unsafe().read();
            if (early != null) {
                eventLoop().execute(this::handOn);
            }
        }
    }

    @Override
    protected void doBeginRead() throws Exception {
        super.doBeginRead();
        if (early != null) {
            eventLoop().execute(this::handOn);
        }
    }

    @Override
    protected int doReadBytes(ByteBuf to) throws Exception {
        if (early == null) {
            return super.doReadBytes(to);
        }
        int count = Math.min(early.readableBytes(), to.writableBytes());
        unsafe().recvBufAllocHandle().attemptedBytesRead(to.writableBytes());
        to.writeBytes(early, count);
        if (!early.isReadable()) {
            drop();
        }
        return count;
    }

    private void drop() {
        if (early != null) {
            early.release();
            early = null;
        }
    }

    @Override
    protected void doClose() throws Exception {
        drop();
        super.doClose();
    }
}
