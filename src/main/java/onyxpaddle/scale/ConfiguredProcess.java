package onyxpaddle.scale;

import io.netty.buffer.ByteBufAllocator;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Executor;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import onyxpaddle.distribution.ConfigurationVersion;
import onyxpaddle.node.Addresses;
import onyxpaddle.node.SocketBuffers;

/** Some hundred nodes that follow control processes, in one process over a few event loops, each with a worker. */
public final class ConfiguredProcess {
    private static final int LOOPS = 4;
    private static final long LOOK_MS = 2;

    /** A loop with its buffers, and the thread on which its nodes merge, check and keep. */
    private record Place(EventLoop loop, ByteBufAllocator allocator, Executor worker) {
    }

    private final List<Place> places = new ArrayList<>();
    private final List<ConfiguredNode> nodes = new ArrayList<>();

    private ConfiguredProcess() {
        MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(LOOPS, NioIoHandler.newFactory());
        for (int i = 0; i < LOOPS; i++) {
            places.add(new Place(group.next(), SocketBuffers.allocator(), Executors.newSingleThreadExecutor()));
        }
    }

    public static void main(String[] args) throws Exception {
        ConfiguredProcess process = new ConfiguredProcess();
        ChildMain.serve(command -> process.answer((ConfiguredCommand) command));
    }

    private ConfiguredReply answer(ConfiguredCommand command) {
        try {
            if (command instanceof ConfiguredCommand.Start start) {
                start(start);
                return new ConfiguredReply.Done();
            } else if (command instanceof ConfiguredCommand.AwaitInForce await) {
                return awaitInForce(ConfigurationVersion.parse(await.version()), await.patienceMs());
            }
            long pid = ProcessHandle.current().pid();
            return new ConfiguredReply.Used(ProcessCost.cpuNanos(pid), ProcessCost.transferred(pid));
        } catch (IOException | InterruptedException | RuntimeException e) {
            return new ConfiguredReply.Failed(e.toString());
        }
    }

    private void start(ConfiguredCommand.Start start) throws IOException {
        List<InetSocketAddress> replicas = new ArrayList<>();
        for (String replica : start.replicas()) {
            replicas.add(Addresses.parse(replica));
        }
        for (ConfiguredCommand.Member member : start.members()) {
            Place place = places.get(nodes.size() % LOOPS);
            nodes.add(new ConfiguredNode(member.plan(), member.service(), replicas, place.loop(), place.allocator(), place.worker(),
                Path.of(start.folder())));
        }
    }

    private ConfiguredReply.InForce awaitInForce(ConfigurationVersion version, long patienceMs) throws InterruptedException {
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(patienceMs);
        ConfiguredReply.InForce now = inForce(version);
        while (now.inForce() < now.nodes() && System.nanoTime() < end) {
            Thread.sleep(LOOK_MS);
            now = inForce(version);
        }
        return now;
    }

    private ConfiguredReply.InForce inForce(ConfigurationVersion version) {
        int count = 0;
        long last = 0;
        for (ConfiguredNode node : nodes) {
            if (!version.isAfter(node.inForce())) {
                count++;
                last = Math.max(last, node.appliedAt());
            }
        }
        return new ConfiguredReply.InForce(nodes.size(), count, last);
    }
}
