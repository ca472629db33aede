package onyxpaddle.http;

import io.netty.buffer.ByteBuf;
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

    StreamedAnswer(ClientConnection connection, SocketChannel channel, Source source) {
        this.connection = connection;
        this.channel = channel;
        this.source = source;
    }

    @Override
    public void data(ByteBuf bytes) {
        channel.write(new DefaultHttpContent(bytes)).addListener(f -> connection.recordProgress());
        if (!channel.isWritable()) {
            channel.flush();
        }
        if (!channel.isWritable()) {
            source.pause();
        }
    }

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
        connection.streamComplete(channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT));
    }

    @Override
    public void broken() {
        // Reset instead of close: an answer delimited by the end of the connection would look complete.
        channel.config().setSoLinger(0);
        connection.close(NodeEvent.CLIENT_ANSWER_BROKEN);
    }
}
