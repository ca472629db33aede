package onyxpaddle.control;

import io.netty.buffer.ByteBufAllocator;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.FileChannel;
import java.nio.channels.OverlappingFileLockException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.concurrent.TimeUnit;
import onyxpaddle.distribution.ConfigurationTable;
import onyxpaddle.distribution.ConfigurationWatch;
import onyxpaddle.node.Log;
import onyxpaddle.node.SocketBuffers;

/** A control process: keeps the configuration of a fleet, and tells it to nodes and to other control processes. */
public final class ControlProcess implements AutoCloseable {
    private static final int END_SECONDS = 5;

    private final ControlSettings settings;
    private final FileChannel lock;
    private final DiskThread disk = new DiskThread();
    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final ByteBufAllocator allocator = SocketBuffers.allocator();
    private ControlCalls calls;
    private ControlServer server;
    private ConfigurationWatch watch;
    private EpochAnnouncement announcement;
    private boolean closed;

    private ControlProcess(ControlSettings settings, FileChannel lock) {
        this.settings = settings;
        this.lock = lock;
    }

    /**
     * Starts a process; it listens once this returns.
     *
     * @throws StartRefusedException where its state, its epoch or its folder forbids it
     * @throws IOException where the disk or the address can't be used, or nobody answers from whom to take over
     */
    public static ControlProcess start(ControlSettings settings) throws IOException, StartRefusedException, InterruptedException {
        ControlProcess process = new ControlProcess(settings, locked(settings.folder()));
        try {
            process.begin();
            return process;
        } catch (IOException | StartRefusedException | InterruptedException | RuntimeException e) {
            process.close();
            throw e;
        }
    }

    private static FileChannel locked(Path folder) throws IOException, StartRefusedException {
        Files.createDirectories(folder);
        FileChannel lock = FileChannel.open(folder.resolve("lock"), StandardOpenOption.CREATE, StandardOpenOption.WRITE);
        try {
            if (lock.tryLock() != null) {
                return lock;
            }
        } catch (OverlappingFileLockException e) {
            // Of this very JVM: the same as of another.
        }
        lock.close();
        throw new StartRefusedException(folder + ": another control process keeps its state here");
    }

    private void begin() throws IOException, StartRefusedException, InterruptedException {
        StateStore store = new StateStore(settings.folder());
        StateStore.Loaded loaded = store.load();
        ServedConfiguration served;
        if (settings.publisher()) {
            ConfigurationTable table = new PublisherStart(settings, store, loaded).table();
            served = new ServedConfiguration(settings.epoch(), settings.epoch(), table, true, settings.wholeBytesPerSecond());
        } else {
            if (loaded.damage() != null) {
                Log.line("control: tells nothing until it has followed another process: " + loaded.damage());
            }
            served = new ServedConfiguration(0, loaded.epoch(), loaded.table(), loaded.damage() == null, settings.wholeBytesPerSecond());
        }
        EventLoop loop = group.next();
        calls = new ControlCalls(settings, loop, disk, store, served, System::nanoTime);
        server = new ControlServer(loop, calls);
        server.listen(settings.listen(), allocator);
        if (!settings.follow().isEmpty()) {
            watch = new Follower(loop, disk, store, served, System::nanoTime, calls::news).watch(settings, allocator);
            watch.start();
        }
        if (!settings.takeOverFrom().isEmpty()) {
            announcement = new EpochAnnouncement(settings, loop, served);
        }
        Log.line("control: " + settings.id() + ", " + (settings.publisher() ? "the publisher of epoch " + settings.epoch() : "a replica")
            + ", at " + address().getHostString() + ":" + address().getPort() + " with version " + served.version());
    }

    /** Where it listens. */
    public InetSocketAddress address() {
        return server.address();
    }

    /** Ends it: takes no more calls, answers those that wait, lets what is being written end. A second time does nothing. */
    @Override
    public synchronized void close() {
        if (closed) {
            return;
        }
        closed = true;
        if (watch != null) {
            watch.stop();
        }
        if (announcement != null) {
            announcement.close();
        }
        if (server != null && server.listening()) {
            server.stopListening();
        }
        disk.close();
        if (server != null && server.listening()) {
            group.next().submit(calls::endWaiting).awaitUninterruptibly(END_SECONDS, TimeUnit.SECONDS);
            server.closeConnections();
        }
        group.shutdownGracefully(0, END_SECONDS, TimeUnit.SECONDS).awaitUninterruptibly(END_SECONDS, TimeUnit.SECONDS);
        try {
            lock.close();
        } catch (IOException e) {
            Log.failure("closing the lock of " + settings.folder(), e);
        }
    }
}
