package onyxpaddle.scale;

import io.netty.buffer.ByteBufAllocator;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import onyxpaddle.node.SocketBuffers;

/** Some hundred hollow nodes in one process, over a few event loops; its argument is the fault put in. */
public final class HollowProcess {
    private static final int LOOPS = 4;
    /** Between looks at watches that are not yet current. */
    private static final long LOOK_MS = 2;

    /** A loop and its buffers, as a node has them. */
    private record Place(EventLoop loop, ByteBufAllocator allocator) {
    }

    private final SeededFault fault;
    private final List<Place> places;
    private final Map<Integer, HollowNode> nodes = new HashMap<>();

    private HollowProcess(SeededFault fault) {
        this.fault = fault;
        MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(LOOPS, NioIoHandler.newFactory());
        Place[] all = new Place[LOOPS];
        for (int i = 0; i < LOOPS; i++) {
            all[i] = new Place(group.next(), SocketBuffers.allocator());
        }
        places = List.of(all);
    }

    public static void main(String[] args) throws Exception {
        HollowProcess process = new HollowProcess(SeededFault.of(args[0]));
        ChildMain.serve(command -> process.answer((HollowCommand) command));
    }

    private HollowReply answer(HollowCommand command) {
        try {
            if (command instanceof HollowCommand.Start start) {
                start.nodes().forEach(plan -> start(plan, start.siblings()));
            } else if (command instanceof HollowCommand.Stop stop) {
                stop.nodes().forEach(this::stop);
            } else if (command instanceof HollowCommand.AwaitCurrent await) {
                return awaitCurrent(await);
            } else if (command instanceof HollowCommand.Read) {
                return new HollowReply.Used(ProcessCost.ownCpuNanos(), ProcessCost.resident(ProcessHandle.current().pid()), nodes.size());
            }
            return new HollowReply.Done();
        } catch (IOException | InterruptedException | RuntimeException e) {
            return new HollowReply.Failed(e.toString());
        }
    }

    private void start(NodePlan plan, int siblings) {
        stop(plan.node());
        Place place = places.get(plan.node() % LOOPS);
        nodes.put(plan.node(), new HollowNode(plan, siblings, place.loop(), place.allocator(), fault));
    }

    private void stop(int node) {
        HollowNode before = nodes.remove(node);
        if (before != null) {
            before.stop();
        }
    }

    private HollowReply awaitCurrent(HollowCommand.AwaitCurrent await) throws InterruptedException {
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(await.patienceMs());
        HollowReply.Current now = current(await.versions());
        while (now.behind() > 0 && System.nanoTime() < end) {
            Thread.sleep(LOOK_MS);
            now = current(await.versions());
        }
        return now;
    }

    private HollowReply.Current current(Map<Integer, Long> versions) {
        int watches = 0;
        int behind = 0;
        long last = 0;
        for (HollowNode node : nodes.values()) {
            List<HollowWatch> own = node.watches();
            behind += own.isEmpty() ? 1 : 0;
            for (HollowWatch watch : own) {
                watches++;
                if (watch.version() < versions.getOrDefault(watch.service(), 1L)) {
                    behind++;
                } else {
                    last = Math.max(last, watch.changedAt());
                }
            }
        }
        return new HollowReply.Current(watches, behind, last);
    }
}
