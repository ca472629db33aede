package onyxpaddle.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultLastHttpContent;
import java.util.function.Consumer;
import onyxpaddle.node.Upload;

/** Streams a request's body to a server. Applies back-pressure: the source stops reading while the channel is not writable. */
final class BodyRelay implements Upload.Sink {
    private final Upload upload;
    private final Channel channel;
    private final UnsentBytes unsent;
    private final Consumer<ChannelFuture> onLast;
    private final Runnable onAborted;

    /** {@code onLast}: receives the write of the body's last byte; {@code onAborted}: called if the rest will never arrive. */
    BodyRelay(Upload upload, Channel channel, UnsentBytes unsent, Consumer<ChannelFuture> onLast, Runnable onAborted) {
        this.upload = upload;
        this.channel = channel;
        this.unsent = unsent;
        this.onLast = onLast;
        this.onAborted = onAborted;
    }

    /** Takes the body: sends its held part, and then what arrives from now on. */
    void start() {
        channel.writeAndFlush(new DefaultHttpContent(upload.attach(this))).addListener(written -> upload.releaseHeld());
        upload.resume();
    }

    @Override
    public void take(ByteBuf more, boolean last) {
        int count = more.readableBytes();
        if (last) {
            ChannelFuture write = channel.writeAndFlush(new DefaultLastHttpContent(more));
            unsent.add(write, count);
            onLast.accept(write);
            return;
        }
        ChannelFuture write = channel.write(new DefaultHttpContent(more));
        unsent.add(write, count);
        write.addListener(f -> updateReading());
        if (!hasRoom()) {
            channel.flush();
            updateReading();
        }
    }

    private boolean hasRoom() {
        return channel.isWritable() && unsent.hasRoom();
    }

    /** Lets the body be read further, or pauses that, by the room that there is. */
    void updateReading() {
        upload.setWritable(this, hasRoom());
    }

    /** Stops sending: the attempt has ended. */
    void detach() {
        upload.detach(this);
    }

    @Override
    public void flush() {
        channel.flush();
    }

    @Override
    public void aborted() {
        onAborted.run();
    }
}
