package onyxpaddle.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.LastHttpContent;
import onyxpaddle.node.AnswerSink;

/** An answer on its way to a client as it comes: what the client does not read is not brought. */
final class StreamedAnswer implements AnswerSink {
    private final ClientConnection to;
    private final SocketChannel channel;
    private final Source source;

    StreamedAnswer(ClientConnection to, SocketChannel channel, Source source) {
        this.to = to;
        this.channel = channel;
        this.source = source;
    }

    @Override
    public void data(ByteBuf bytes) {
        channel.write(new DefaultHttpContent(bytes)).addListener(f -> to.moved());
        if (!channel.isWritable()) {
            channel.flush();
        }
        if (!channel.isWritable()) {
            source.pause();
        }
    }

    /** The client has taken some, or has no more room. */
    void writabilityChanged() {
        if (channel.isWritable()) {
            source.resume();
        } else {
            source.pause();
        }
    }

    @Override
    public void flush() {
        channel.flush();
    }

    @Override
    public void end() {
        to.passed(channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT));
    }

    @Override
    public void broken() {
        // Reset rather than closed: an answer that ends with its connection would look whole.
        channel.config().setSoLinger(0);
        to.close();
    }
}
