package onyxpaddle.measure;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.SocketChannel;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import onyxpaddle.measure.PeerConduct.End;
import onyxpaddle.measure.PeerConduct.Reading;

/** Many clients on one thread, whose conducts take turns. */
final class SlowClients implements AutoCloseable {
    private static final int READ_BYTES = 64 * 1024;
    private static final int SLOW_READ_BYTES = 500;
    private static final long SLOW_READ_INTERVAL = TimeUnit.MILLISECONDS.toNanos(100);
    private static final int POLL_MS = 10;

    private final InetSocketAddress node;
    private final List<? extends PeerConduct> conducts;
    private final boolean reconnects;
    private final Selector selector = Selector.open();
    private final ByteBuffer into = ByteBuffer.allocate(READ_BYTES);
    private final Thread thread = new Thread(this::run, "slow clients");
    private final Map<String, Long> closedAt = new HashMap<>();
    private volatile boolean stopped;
    private long requests;

    /** {@code reconnects}: a client whose connection was closed connects again at once. */
    SlowClients(InetSocketAddress node, List<? extends PeerConduct> conducts, int count, boolean reconnects) throws IOException {
        this.node = node;
        this.conducts = conducts;
        this.reconnects = reconnects;
        for (int i = 0; i < count; i++) {
            connect(conducts.get(i % conducts.size()));
        }
        thread.setDaemon(true);
        thread.start();
    }

    private static final class Client {
        final PeerConduct conduct;
        String id;
        ByteBuffer out;
        long leavesAt;
        long nextWriteAt;
        long nextReadAt;

        Client(PeerConduct conduct) {
            this.conduct = conduct;
        }
    }

    private void connect(PeerConduct conduct) throws IOException {
        SocketChannel channel = SocketChannel.open();
        channel.configureBlocking(false);
        Client client = new Client(conduct);
        client.id = "slow-" + (requests + 1);
        client.out = opening(conduct);
        client.leavesAt = conduct.end() == End.STAYS ? Long.MAX_VALUE
            : System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(conduct.leavesAfterMs());
        channel.connect(node);
        channel.register(selector, SelectionKey.OP_CONNECT, client);
    }

    private ByteBuffer opening(PeerConduct conduct) {
        return ByteBuffer.wrap(conduct.opening("slow-" + ++requests));
    }

    private void run() {
        try {
            while (!stopped) {
                selector.select(POLL_MS);
                selector.selectedKeys().clear();
                for (SelectionKey key : selector.keys().toArray(new SelectionKey[0])) {
                    serve(key, System.nanoTime());
                }
            }
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    private void serve(SelectionKey key, long now) throws IOException {
        SocketChannel channel = (SocketChannel) key.channel();
        Client client = (Client) key.attachment();
        try {
            if (!channel.isConnected() && !channel.finishConnect()) {
                return;
            }
            if (now >= client.leavesAt) {
                leave(channel, client);
            }
            write(channel, client, now);
            read(channel, client, now);
            boolean writes = client.out.hasRemaining() || client.conduct.repeats();
            key.interestOps((client.conduct.reading() == Reading.AT_ONCE ? SelectionKey.OP_READ : 0) | (writes ? SelectionKey.OP_WRITE : 0));
        } catch (IOException e) {
            channel.close();
            if (reconnects) {
                connect(client.conduct);
            }
        }
    }

    private void leave(SocketChannel channel, Client client) throws IOException {
        if (client.conduct.end() == End.RESETS) {
            channel.setOption(StandardSocketOptions.SO_LINGER, 0);
        }
        closedAt.put(client.id, System.nanoTime());
        throw new IOException("the client leaves");
    }

    /** When clients left of their own accord, by the ids of their first requests. */
    Map<String, Long> closedAt() {
        return closedAt;
    }

    private void write(SocketChannel channel, Client client, long now) throws IOException {
        PeerConduct conduct = client.conduct;
        if (!client.out.hasRemaining() && conduct.repeats()) {
            client.out = opening(conduct);
        } else if (!client.out.hasRemaining() && conduct.writesMore() && now >= client.nextWriteAt) {
            client.out = ByteBuffer.wrap(conduct.more("slow-" + ++requests));
            client.nextWriteAt = now + TimeUnit.MILLISECONDS.toNanos(conduct.intervalMs());
        }
        if (client.out.hasRemaining()) {
            channel.write(client.out);
        }
    }

    private void read(SocketChannel channel, Client client, long now) throws IOException {
        boolean slow = client.conduct.reading() == Reading.SLOWLY;
        if (client.conduct.reading() == Reading.NEVER || slow && now < client.nextReadAt) {
            return;
        }
        client.nextReadAt = now + SLOW_READ_INTERVAL;
        into.clear().limit(slow ? SLOW_READ_BYTES : READ_BYTES);
        if (channel.read(into) < 0) {
            throw new IOException("closed by the node");
        }
    }

    /** Closes all connections. */
    @Override
    public void close() throws IOException {
        stopped = true;
        selector.wakeup();
        try {
            thread.join();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        for (SelectionKey key : selector.keys()) {
            key.channel().close();
        }
        selector.close();
    }
}
