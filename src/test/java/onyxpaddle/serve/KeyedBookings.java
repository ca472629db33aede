package onyxpaddle.serve;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessageUnpacker;
import org.msgpack.value.ArrayValue;
import org.msgpack.value.Value;
import org.msgpack.value.ValueFactory;

/**
 * The servers of a booking application, which share what they know of keys and drop each repeat of a key that they were told. A booking is
 * named by the first parameter of its call, by HTTP that of the array in its body. The reply to the first run of some is lost by a reset.
 */
final class KeyedBookings implements AutoCloseable {
    private static final Value ENVELOPE = ValueFactory.newString("lupinmount");

    /** Of so many bookings, by the number in their names, one loses its first reply. */
    private final int lostEvery;
    private final List<ServerSocket> listeners = new ArrayList<>();
    private final Map<String, Integer> runs = new TreeMap<>();
    private final Set<String> knownKeys = new HashSet<>();
    private final List<String> toldKeys = new ArrayList<>();
    private final Set<String> lost = new HashSet<>();

    private interface Protocol {
        /** Serves one request; false at the end of the connection. */
        boolean serve(Socket socket, InputStream in) throws IOException;
    }

    KeyedBookings(int lostEvery) {
        this.lostEvery = lostEvery;
    }

    /** Starts a server that speaks HTTP; returns its address. */
    String http() throws IOException {
        return listen(this::serveHttp);
    }

    /** Starts a server that speaks MessagePack-RPC; returns its address. */
    String rpc() throws IOException {
        return listen(this::serveCall);
    }

    /** How often each booking ran. */
    synchronized Map<String, Integer> runs() {
        return new TreeMap<>(runs);
    }

    /** The keys that servers were told, in the form in which they were told. */
    synchronized List<String> toldKeys() {
        return List.copyOf(toldKeys);
    }

    /** Whether the first reply to the booking with this number is lost. */
    boolean loses(int number) {
        return number % lostEvery == 0;
    }

    private String listen(Protocol protocol) throws IOException {
        ServerSocket listener = new ServerSocket(0, 100, InetAddress.getLoopbackAddress());
        listeners.add(listener);
        daemon(() -> accept(listener, protocol));
        return "127.0.0.1:" + listener.getLocalPort();
    }

    private static void accept(ServerSocket listener, Protocol protocol) {
        try {
            while (true) {
                Socket socket = listener.accept();
                daemon(() -> serve(socket, protocol));
            }
        } catch (IOException e) {
            // The listener was closed at the end of the test.
        }
    }

    private static void serve(Socket socket, Protocol protocol) {
        try (socket; InputStream in = new BufferedInputStream(socket.getInputStream())) {
            while (protocol.serve(socket, in)) {
                // The next request of the connection.
            }
        } catch (IOException | UncheckedIOException e) {
            // The connection was closed by the node.
        }
    }

    private static void daemon(Runnable task) {
        Thread thread = new Thread(task, "keyed-bookings");
        thread.setDaemon(true);
        thread.start();
    }

    /** Runs a booking, unless its key is known; returns whether the reply arrives. */
    private synchronized boolean book(String booking, String key) {
        if (key != null) {
            toldKeys.add(key);
        }
        if (key == null || knownKeys.add(key)) {
            runs.merge(booking, 1, Integer::sum);
        }
        return !loses(Integer.parseInt(booking.substring(booking.lastIndexOf('-') + 1))) || !lost.add(booking);
    }

    private boolean serveCall(Socket socket, InputStream in) throws IOException {
        MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(new OneByteReads(in));
        if (!unpacker.hasNext()) {
            return false;
        }
        ArrayValue call = unpacker.unpackValue().asArrayValue();
        List<Value> params = call.get(3).asArrayValue().list();
        Value envelope = params.get(0).isMapValue() ? params.get(0).asMapValue().map().get(ENVELOPE) : null;
        Value key = envelope == null ? null : envelope.asMapValue().map().get(ValueFactory.newString("key"));
        if (!book(params.get(envelope == null ? 0 : 1).asStringValue().asString(), key == null ? null : key.asStringValue().asString())) {
            return reset(socket);
        }
        try (MessageBufferPacker reply = MessagePack.newDefaultBufferPacker()) {
            reply.packArrayHeader(4).packInt(1).packValue(call.get(1)).packNil().packString("booked");
            socket.getOutputStream().write(reply.toByteArray());
        }
        return true;
    }

    private boolean serveHttp(Socket socket, InputStream in) throws IOException {
        ByteArrayOutputStream head = new ByteArrayOutputStream();
        while (!head.toString(StandardCharsets.ISO_8859_1).endsWith("\r\n\r\n")) {
            int next = in.read();
            if (next < 0) {
                return false;
            }
            head.write(next);
        }
        int length = 0;
        String key = null;
        for (String line : head.toString(StandardCharsets.ISO_8859_1).split("\r\n")) {
            String value = line.substring(line.indexOf(':') + 1).trim();
            if (line.regionMatches(true, 0, "Content-Length:", 0, 15)) {
                length = Integer.parseInt(value);
            } else if (line.regionMatches(true, 0, "Idempotency-Key:", 0, 16)) {
                key = new String(value.getBytes(StandardCharsets.ISO_8859_1), StandardCharsets.UTF_8);
            }
        }
        Value params = MessagePack.newDefaultUnpacker(in.readNBytes(length)).unpackValue();
        if (!book(params.asArrayValue().get(0).asStringValue().asString(), key)) {
            return reset(socket);
        }
        socket.getOutputStream().write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1));
        return true;
    }

    private static boolean reset(Socket socket) throws IOException {
        socket.setSoLinger(true, 0);
        return false;
    }

    /** Keeps an unpacker from reading on into the next frame, which it would discard. */
    private static final class OneByteReads extends InputStream {
        private final InputStream in;

        OneByteReads(InputStream in) {
            this.in = in;
        }

        @Override
        public int read() throws IOException {
            return in.read();
        }

        @Override
        public int read(byte[] to, int offset, int length) throws IOException {
            int next = in.read();
            if (next < 0) {
                return -1;
            }
            to[offset] = (byte) next;
            return 1;
        }
    }

    @Override
    public void close() throws IOException {
        for (ServerSocket listener : listeners) {
            listener.close();
        }
    }
}
