package onyxpaddle.standin;

import java.io.DataInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * A BGP router as the peer of a speaker, over blocking sockets and with an independent codec. It accepts one session after another,
 * keeps a routing table with the time of each change, and records violations of the RFCs. On request it refuses connections, stays
 * silent, stops reading, sends arbitrary bytes, closes the session, or connects to the speaker.
 */
public final class StandInBgpPeer implements AutoCloseable {
    private static final byte[] MARKER = HexFormat.of().parseHex("ff".repeat(16));

    /** A change of the table: a prefix announced, with its attributes in hex, or withdrawn. */
    public record Change(long at, String prefix, boolean announced, String attributes) {
    }

    private final ServerSocket listener;
    private final int as;
    private final int identifier;
    private final int holdTime;
    /** The table of each confirmed connection; after a connection collision there are briefly two. */
    private final Map<Socket, Map<String, String>> tables = new ConcurrentHashMap<>();
    private final List<Change> changes = new CopyOnWriteArrayList<>();
    private final List<String> faults = new CopyOnWriteArrayList<>();
    private final List<String> notifications = new CopyOnWriteArrayList<>();
    private volatile Socket session;
    private volatile boolean refuses;
    private volatile boolean silent;
    private volatile boolean reads = true;
    private volatile int sessions;
    private volatile int messages;
    private volatile int opens;

    /** Listens on the given loopback address, on a free port. */
    public StandInBgpPeer(String host, int as, int identifier, int holdTime) throws IOException {
        this.as = as;
        this.identifier = identifier;
        this.holdTime = holdTime;
        listener = new ServerSocket(0, 16, InetAddress.getByName(host));
        startDaemon(() -> {
            while (true) {
                Socket socket = listener.accept();
                if (refuses) {
                    socket.close();
                } else {
                    startDaemon(() -> serve(socket));
                }
            }
        });
    }

    private interface IoTask {
        void run() throws IOException;
    }

    private static void startDaemon(IoTask task) {
        Thread thread = new Thread(() -> {
            try {
                task.run();
            } catch (IOException e) {
                // The connection or the peer has been closed.
            }
        }, "bgp-peer");
        thread.setDaemon(true);
        thread.start();
    }

    public InetSocketAddress address() {
        return (InetSocketAddress) listener.getLocalSocketAddress();
    }

    // ---- control ----

    /** Closes new connections at once, or accepts them again. */
    public void refuses(boolean on) {
        refuses = on;
    }

    /** Sends no OPEN and no KEEPALIVE, or sends them again. */
    public void silent(boolean on) {
        silent = on;
    }

    /** Stops or resumes reading. */
    public void reads(boolean on) {
        reads = on;
    }

    /** Closes the connection of the session. */
    public void closeSession() throws IOException {
        Socket socket = session;
        if (socket != null) {
            socket.close();
        }
    }

    /** Connects to the speaker from the address of this peer and serves that connection like an accepted one. */
    public void dial(InetSocketAddress speaker) throws IOException {
        Socket socket = new Socket();
        socket.bind(new InetSocketAddress(listener.getInetAddress(), 0));
        socket.connect(speaker);
        startDaemon(() -> serve(socket));
    }

    /** Sends a message with the given type and hex body on the session. */
    public void send(int type, String body) throws IOException {
        send(session, type, HexFormat.of().parseHex(body.replace(" ", "")));
    }

    /** Sends the bytes as they are. */
    public void sendRaw(byte[] bytes) throws IOException {
        session.getOutputStream().write(bytes);
    }

    // ---- observations ----

    public Map<String, String> table() {
        Map<String, String> all = new ConcurrentHashMap<>();
        tables.values().forEach(all::putAll);
        return all;
    }

    public List<Change> changes() {
        return changes;
    }

    /** Violations of the RFCs. */
    public List<String> faults() {
        return faults;
    }

    /** Codes and subcodes of the NOTIFICATIONs that the speaker has sent, such as {@code 6/2}. */
    public List<String> notifications() {
        return notifications;
    }

    public boolean established() {
        return !tables.isEmpty();
    }

    public int sessions() {
        return sessions;
    }

    /** The number of OPENs that the speaker has sent over all connections. */
    public int opens() {
        return opens;
    }

    public int messages() {
        return messages;
    }

    // ---- protocol ----

    private static void send(Socket socket, int type, byte[] body) throws IOException {
        ByteBuffer out = ByteBuffer.allocate(19 + body.length).put(MARKER).putShort((short) (19 + body.length)).put((byte) type).put(body);
        synchronized (socket) {
            socket.getOutputStream().write(out.array());
        }
    }

    private byte[] encodeOpen() {
        ByteBuffer out = ByteBuffer.allocate(10 + 2 + 14).put((byte) 4).putShort((short) as).putShort((short) holdTime).putInt(identifier);
        out.put((byte) 16).put((byte) 2).put((byte) 14);
        out.put(HexFormat.of().parseHex("010400010001")).put((byte) 2).put((byte) 0).put((byte) 65).put((byte) 4).putInt(as);
        return out.array();
    }

    private void serve(Socket socket) throws IOException {
        try (socket) {
            if (!established()) {
                session = socket;
            }
            if (!silent) {
                send(socket, 1, encodeOpen());
            }
            DataInputStream in = new DataInputStream(socket.getInputStream());
            boolean opened = false;
            while (true) {
                while (!reads) {
                    Thread.sleep(5);
                }
                byte[] head = new byte[19];
                in.readFully(head);
                int length = (head[16] & 0xff) << 8 | head[17] & 0xff;
                if (!HexFormat.of().formatHex(head, 0, 16).equals("ff".repeat(16)) || length < 19 || length > 4096) {
                    faults.add("header " + HexFormat.of().formatHex(head));
                    return;
                }
                byte[] body = in.readNBytes(length - 19);
                messages++;
                int type = head[18];
                if (type == 1 && !opened) {
                    opened = true;
                    checkOpen(body);
                    opens++;
                    if (!silent) {
                        send(socket, 4, new byte[0]);
                    }
                } else if (type == 4 && opened && body.length == 0) {
                    if (tables.putIfAbsent(socket, new ConcurrentHashMap<>()) == null) {
                        sessions++;
                        session = socket;
                    }
                    if (!silent) {
                        send(socket, 4, new byte[0]);
                    }
                } else if (type == 2 && tables.containsKey(socket)) {
                    update(body, tables.get(socket));
                } else if (type == 3) {
                    notifications.add(body[0] + "/" + body[1]);
                    return;
                } else {
                    faults.add("message " + type + " in the wrong state");
                }
            }
        } catch (EOFException e) {
            // The speaker has closed the connection.
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            tables.remove(socket);
            tables.keySet().stream().findFirst().ifPresent(remaining -> session = remaining);
        }
    }

    private void checkOpen(byte[] body) {
        if (body.length < 10 || body[0] != 4 || body[9] != body.length - 10) {
            faults.add("OPEN " + HexFormat.of().formatHex(body));
        }
    }

    private void update(byte[] body, Map<String, String> table) {
        ByteBuffer in = ByteBuffer.wrap(body);
        ByteBuffer withdrawn = slice(in, in.getShort() & 0xffff);
        ByteBuffer attributes = slice(in, in.getShort() & 0xffff);
        String text = HexFormat.of().formatHex(body, attributes.arrayOffset() + attributes.position(),
            attributes.arrayOffset() + attributes.limit());
        while (withdrawn.hasRemaining()) {
            String prefix = prefix(withdrawn);
            // The change is recorded before the table is updated, so that a reader who sees the new table also finds the change.
            changes.add(new Change(System.nanoTime(), prefix, false, ""));
            if (table.remove(prefix) == null) {
                faults.add("withdrawal of " + prefix + ", which is not announced");
            }
        }
        boolean hasAnnouncements = in.hasRemaining();
        while (in.hasRemaining()) {
            String prefix = prefix(in);
            changes.add(new Change(System.nanoTime(), prefix, true, text));
            table.put(prefix, text);
        }
        if (hasAnnouncements) {
            checkAttributes(attributes);
        }
    }

    /** Checks that ORIGIN, AS_PATH and NEXT_HOP occur once each with their flags, and that no attribute is repeated. */
    private void checkAttributes(ByteBuffer in) {
        int seen = 0;
        while (in.remaining() >= 3) {
            int flags = in.get() & 0xff;
            int type = in.get() & 0xff;
            int length = (flags & 0x10) != 0 ? in.getShort() & 0xffff : in.get() & 0xff;
            if (length > in.remaining() || type < 32 && (seen & 1 << type) != 0 || type <= 3 && (flags & 0xe0) != 0x40) {
                faults.add("attribute " + type + " with flags " + flags + " and length " + length);
                return;
            }
            seen |= type < 32 ? 1 << type : 0;
            in.position(in.position() + length);
        }
        if ((seen & 0b1110) != 0b1110 || in.hasRemaining()) {
            faults.add("attributes " + seen);
        }
    }

    private static ByteBuffer slice(ByteBuffer in, int length) {
        ByteBuffer part = in.duplicate().limit(in.position() + length);
        in.position(in.position() + length);
        return part;
    }

    private static String prefix(ByteBuffer in) {
        int bits = in.get() & 0xff;
        byte[] address = new byte[4];
        in.get(address, 0, (bits + 7) / 8);
        return (address[0] & 0xff) + "." + (address[1] & 0xff) + "." + (address[2] & 0xff) + "." + (address[3] & 0xff) + "/" + bits;
    }

    @Override
    public void close() throws IOException {
        listener.close();
        closeSession();
    }
}
