package onyxpaddle.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultLastHttpContent;
import java.util.function.Consumer;
import onyxpaddle.node.Clock;
import onyxpaddle.node.Upload;

/** A request's body on its way to a server as it comes: reading stops at its source while the server takes nothing. */
final class BodyRelay implements Upload.Sink {
    private final Upload upload;
    private final Channel channel;
    private final Clock clock;
    private final Consumer<ChannelFuture> onLast;
    private final Runnable onAborted;
    private long movedAt;

    /** {@code onLast}: gets the write of the body's last byte; {@code onAborted}: the rest never comes. */
    BodyRelay(Upload upload, Channel channel, Clock clock, Consumer<ChannelFuture> onLast, Runnable onAborted) {
        this.upload = upload;
        this.channel = channel;
        this.clock = clock;
        this.onLast = onLast;
        this.onAborted = onAborted;
        this.movedAt = clock.now();
    }

    /** Sends what is held, and what comes from now on. */
    void start(ByteBuf held) {
        if (upload.whole()) {
            take(held, true);
        } else {
            channel.writeAndFlush(new DefaultHttpContent(held));
            upload.attach(this);
        }
    }

    @Override
    public void take(ByteBuf more, boolean last) {
        movedAt = clock.now();
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
        movedAt = clock.now();
        upload.setWritable(this, channel.isWritable());
    }

    /** The server has taken nothing for so long. */
    boolean stalls(long now, long longest) {
        return !channel.isWritable() && now - movedAt > longest;
    }

    /** The attempt takes no more of it. */
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
