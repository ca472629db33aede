package onyxpaddle.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelFuture;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.LastHttpContent;
import onyxpaddle.node.AnswerSink;
import onyxpaddle.node.NodeEvent;

/** An answer that is streamed to a client. Pauses its source while the client does not read. */
final class StreamedAnswer implements AnswerSink {
    private final ClientConnection connection;
    private final SocketChannel channel;
    private final Source source;
    private boolean paused;
    private boolean ended;

    private final UnsentBytes unsent;

    StreamedAnswer(ClientConnection connection, SocketChannel channel, Source source, UnsentBytes unsent) {
        this.connection = connection;
        this.channel = channel;
        this.source = source;
        this.unsent = unsent;
    }

    @Override
    public void data(ByteBuf bytes) {
        int count = bytes.readableBytes();
        ChannelFuture write = channel.write(new DefaultHttpContent(bytes));
        unsent.add(write, count);
        write.addListener(f -> written());
        if (!hasRoom()) {
            channel.flush();
        }
        if (!hasRoom()) {
            pause();
        }
    }

    private boolean hasRoom() {
        return channel.isWritable() && unsent.hasRoom();
    }

    private void written() {
        connection.recordProgress();
        update();
    }

    private void pause() {
        paused = true;
        source.pause();
    }

    /** Lets the source go on, or pauses it, by the room that there is. */
    void update() {
        if (ended || paused != hasRoom()) {
            return;
        }
        if (paused) {
            paused = false;
            source.resume();
        } else {
            pause();
        }
    }

    @Override
    public void flush() {
        channel.flush();
    }

    @Override
    public void end() {
        ended = true;
        connection.streamComplete(channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT));
    }

    @Override
    public void broken() {
        ended = true;
        // Reset instead of close: an answer delimited by the end of the connection would look complete.
        channel.config().setSoLinger(0);
        connection.close(NodeEvent.CLIENT_ANSWER_BROKEN);
    }
}
