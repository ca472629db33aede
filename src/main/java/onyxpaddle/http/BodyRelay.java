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
    private final Consumer<ChannelFuture> onLast;
    private final Runnable onAborted;

    /** {@code onLast}: receives the write of the body's last byte; {@code onAborted}: called if the rest will never arrive. */
    BodyRelay(Upload upload, Channel channel, Consumer<ChannelFuture> onLast, Runnable onAborted) {
        this.upload = upload;
        this.channel = channel;
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
        if (last) {
            onLast.accept(channel.writeAndFlush(new DefaultLastHttpContent(more)));
            return;
        }
        channel.write(new DefaultHttpContent(more));
        if (!channel.isWritable()) {
            channel.flush();
            upload.setWritable(this, channel.isWritable());
        }
    }

    void writabilityChanged() {
        upload.setWritable(this, channel.isWritable());
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
