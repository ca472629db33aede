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

/** A control process: stores the configuration of a fleet and serves it to nodes and to other control processes. */
public final class ControlProcess implements AutoCloseable {
    private static final int SHUTDOWN_SECONDS = 5;

    private final ControlSettings settings;
    private final FileChannel lock;
    private final DiskThread disk = new DiskThread();
    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final ByteBufAllocator allocator = SocketBuffers.allocator();
    private ControlRequestHandler requestHandler;
    private ControlServer server;
    private ConfigurationWatch watch;
    private EpochAnnouncer announcer;
    private boolean closed;

    private ControlProcess(ControlSettings settings, FileChannel lock) {
        this.settings = settings;
        this.lock = lock;
    }

    /**
     * Starts a process, which listens when this returns.
     *
     * @throws StartRefusedException if its state, its epoch or the lock on its folder forbids the start
     * @throws IOException if the disk or the address can't be used, or no process to take over from answers
     */
    public static ControlProcess start(ControlSettings settings) throws IOException, StartRefusedException, InterruptedException {
        ControlProcess process = new ControlProcess(settings, acquireLock(settings.folder()));
        try {
            process.open();
            return process;
        } catch (IOException | StartRefusedException | InterruptedException | RuntimeException e) {
            process.close();
            throw e;
        }
    }

    private static FileChannel acquireLock(Path folder) throws IOException, StartRefusedException {
        Files.createDirectories(folder);
        FileChannel lock = FileChannel.open(folder.resolve("lock"), StandardOpenOption.CREATE, StandardOpenOption.WRITE);
        try {
            if (lock.tryLock() != null) {
                return lock;
            }
        } catch (OverlappingFileLockException e) {
            // The lock is held by this JVM: handled like one held by another process.
        }
        lock.close();
        throw new StartRefusedException(folder + ": another control process uses this folder");
    }

    private void open() throws IOException, StartRefusedException, InterruptedException {
        StateStore store = new StateStore(settings.folder());
        StateStore.Loaded loaded = store.load();
        ServedConfiguration served;
        if (settings.publisher()) {
            ConfigurationTable table = new PublisherBootstrap(settings, store, loaded).initialTable();
            served = new ServedConfiguration(settings.epoch(), settings.epoch(), table, true, settings.fullUpdateBytesPerSecond());
        } else {
            if (loaded.damage() != null) {
                Log.line("control: serves nothing until it has synchronised with another process: " + loaded.damage());
            }
            served = new ServedConfiguration(0, loaded.epoch(), loaded.table(), loaded.damage() == null,
                settings.fullUpdateBytesPerSecond());
        }
        EventLoop loop = group.next();
        requestHandler = new ControlRequestHandler(settings, loop, disk, store, served, System::nanoTime);
        server = new ControlServer(loop, requestHandler);
        server.listen(settings.listen(), allocator);
        if (!settings.follow().isEmpty()) {
            watch = new Follower(loop, disk, store, served, System::nanoTime, requestHandler::onUpdate).watch(settings, allocator);
            watch.start();
        }
        if (!settings.takeOverFrom().isEmpty()) {
            announcer = new EpochAnnouncer(settings, loop, served);
        }
        Log.line("control: " + settings.id() + ", " + (settings.publisher() ? "publisher of epoch " + settings.epoch() : "replica")
            + ", listening at " + address().getHostString() + ":" + address().getPort() + " with version " + served.version());
    }

    /** Returns the address that it listens at. */
    public InetSocketAddress address() {
        return server.address();
    }

    /** Stops accepting requests, lets queued writes finish and answers pending long polls. Idempotent. */
    @Override
    public synchronized void close() {
        if (closed) {
            return;
        }
        closed = true;
        if (watch != null) {
            watch.stop();
        }
        if (announcer != null) {
            announcer.close();
        }
        if (server != null && server.started()) {
            server.stopListening();
        }
        disk.close();
        if (server != null && server.started()) {
            group.next().submit(requestHandler::answerAllWaiting).awaitUninterruptibly(SHUTDOWN_SECONDS, TimeUnit.SECONDS);
            server.closeConnections();
        }
        group.shutdownGracefully(0, SHUTDOWN_SECONDS, TimeUnit.SECONDS).awaitUninterruptibly(SHUTDOWN_SECONDS, TimeUnit.SECONDS);
        try {
            lock.close();
        } catch (IOException e) {
            Log.failure("closing the lock of " + settings.folder(), e);
        }
    }
}
