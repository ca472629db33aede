package onyxpaddle.scale;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/** A call of {@link OpenLoadServer} over a kept HTTP/1.1 connection, by non-blocking reads without a selector. */
final class OpenLoadSocket implements OpenLoadConnection {
    private static final byte[] REQUEST = "GET /measured HTTP/1.1\r\nHost: measured\r\n\r\n".getBytes(StandardCharsets.US_ASCII);
    private static final byte[] SERVED = "HTTP/1.1 200".getBytes(StandardCharsets.US_ASCII);
    /** A head of some hundred bytes and a body of {@link OpenLoadServer#BODY} fit many times. */
    private static final int LARGEST_ANSWER = 4096;

    private final SocketChannel channel;
    private final ByteBuffer request = ByteBuffer.allocateDirect(REQUEST.length);
    private final ByteBuffer received = ByteBuffer.allocateDirect(LARGEST_ANSWER);
    private final byte[] tail = new byte[OpenLoadServer.BODY.length];
    private final byte[] start = new byte[SERVED.length];

    OpenLoadSocket(InetSocketAddress to) throws IOException {
        channel = SocketChannel.open(to);
        channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
        channel.configureBlocking(false);
        request.put(REQUEST);
    }

    @Override
    public boolean usable() throws IOException {
        received.clear();
        return channel.read(received) == 0;
    }

    @Override
    public void send() throws IOException {
        received.clear();
        request.rewind();
        while (request.hasRemaining()) {
            channel.write(request);
        }
    }

    @Override
    public boolean answered() throws IOException {
        int count = channel.read(received);
        if (count < 0) {
            throw new IOException("closed before an answer");
        }
        if (count == 0) {
            return false;
        }
        int length = received.position();
        if (length >= start.length) {
            received.get(0, start);
            if (!Arrays.equals(start, SERVED)) {
                throw new IOException("answered " + new String(start, StandardCharsets.US_ASCII));
            }
        }
        if (length < start.length + tail.length) {
            return false;
        }
        received.get(length - tail.length, tail);
        boolean whole = Arrays.equals(tail, OpenLoadServer.BODY);
        if (!whole && !received.hasRemaining()) {
            throw new IOException("an answer of more than " + LARGEST_ANSWER + " bytes");
        }
        return whole;
    }

    @Override
    public void close() throws IOException {
        channel.close();
    }
}
