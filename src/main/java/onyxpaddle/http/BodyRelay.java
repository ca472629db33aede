package onyxpaddle.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultLastHttpContent;
import java.util.function.Consumer;
import onyxpaddle.node.Clock;
import onyxpaddle.node.Upload;

/** Streams a request's body to a server. Applies back-pressure: the source stops reading while the channel is not writable. */
final class BodyRelay implements Upload.Sink {
    private final Upload upload;
    private final Channel channel;
    private final Clock clock;
    private final Consumer<ChannelFuture> onLast;
    private final Runnable onAborted;
    private long lastProgressAt;

    /** {@code onLast}: receives the write of the body's last byte; {@code onAborted}: called if the rest will never arrive. */
    BodyRelay(Upload upload, Channel channel, Clock clock, Consumer<ChannelFuture> onLast, Runnable onAborted) {
        this.upload = upload;
        this.channel = channel;
        this.clock = clock;
        this.onLast = onLast;
        this.onAborted = onAborted;
        this.lastProgressAt = clock.now();
    }

    /** Takes the body: sends its held part, and then what arrives from now on. */
    void start() {
        channel.writeAndFlush(new DefaultHttpContent(upload.attach(this)));
        upload.resume();
    }

    @Override
    public void take(ByteBuf more, boolean last) {
        lastProgressAt = clock.now();
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
        lastProgressAt = clock.now();
        upload.setWritable(this, channel.isWritable());
    }

    /** Whether the server has accepted no data for longer than {@code timeout} nanoseconds. */
    boolean stalled(long now, long timeout) {
        return !channel.isWritable() && now - lastProgressAt > timeout;
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
