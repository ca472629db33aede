package onyxpaddle.scale;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;

/** Counts a connection's bytes, next to its socket. */
final class ByteCounter extends ChannelDuplexHandler {
    private final DoorCounts counts;

    ByteCounter(DoorCounts counts) {
        this.counts = counts;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        if (message instanceof ByteBuf bytes) {
            counts.read(bytes.readableBytes());
        }
        context.fireChannelRead(message);
    }

    @Override
    public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
        if (message instanceof ByteBuf bytes) {
            counts.written(bytes.readableBytes(), System.nanoTime());
        }
        context.write(message, promise);
    }
}
