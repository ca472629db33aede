package onyxpaddle.socket;

import io.netty.channel.DefaultMaxMessagesRecvByteBufAllocator;
import onyxpaddle.node.SocketBuffers;

/** How many bytes a connection is read by: few while its input is costly to decode. */
final class ReadSize extends DefaultMaxMessagesRecvByteBufAllocator {
    private static final int COSTLY_READ_BYTES = 4 * 1024;
    /** How often one connection is read in a turn of the event loop: a peer that floods must not keep others waiting. */
    private static final int READS_PER_TURN = 1;

    private int bytes = SocketBuffers.READ_SIZE;

    ReadSize() {
        super(READS_PER_TURN);
    }

    void setCostly(boolean costly) {
        bytes = costly ? COSTLY_READ_BYTES : SocketBuffers.READ_SIZE;
    }

    @Override
    @SuppressWarnings("deprecation")
    public Handle newHandle() {
        return new MaxMessageHandle() {
            @Override
            public int guess() {
                return bytes;
            }
        };
    }
}
