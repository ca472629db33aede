package onyxpaddle.scale;

import io.netty.buffer.ByteBufAllocator;
import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import onyxpaddle.BalancerApi;
import onyxpaddle.BalancerApi.Effect;
import onyxpaddle.BalancerApi.KeyGroup;
import onyxpaddle.BalancerApi.Limits;
import onyxpaddle.BalancerApi.Rules;
import onyxpaddle.BalancerApi.Settings;
import onyxpaddle.BalancerApi.Weights;
import onyxpaddle.config.Faults;
import onyxpaddle.config.MachineLimits;
import onyxpaddle.config.NodeConfig;
import onyxpaddle.config.NodeConfigReader;
import onyxpaddle.config.SourceFile;
import onyxpaddle.config.Value;
import onyxpaddle.node.Addresses;

/**
 * A node without the data path: its configuration is read and checked as `check` does, and each of its pools watches, judges and holds its
 * list by the program's own code over real connections.
 */
final class HollowNode {
    private static final long MS = 1_000_000L;
    private static final long ASKED_DRAIN_GRACE = 2_000 * MS;
    /** A hollow node listens nowhere, but its configuration names where it would. */
    private static final String NOWHERE = "127.0.0.1:9";

    private final EventLoop loop;
    private final List<HollowWatch> watches = new ArrayList<>();

    /** Starts at once; {@code siblings}: how many fronts there are. */
    HollowNode(NodePlan plan, int siblings, EventLoop loop, ByteBufAllocator allocator, SeededFault fault) {
        this.loop = loop;
        loop.execute(() -> {
            try {
                List<HollowWatch> own = plan.kind() == NodeKind.FRONT ? front(plan, siblings, allocator, fault) : sidecar(plan, allocator, fault);
                synchronized (watches) {
                    watches.addAll(own);
                }
                own.forEach(HollowWatch::start);
            } catch (UnknownHostException e) {
                throw new IllegalStateException("an address in digits is unknown", e);
            }
        });
    }

    private List<HollowWatch> sidecar(NodePlan plan, ByteBufAllocator allocator, SeededFault fault) {
        NodeConfig config = checked(plan);
        List<HollowWatch> own = new ArrayList<>();
        for (int service : plan.services()) {
            NodeConfig.Pool pool = config.pools().get("service-" + service);
            own.add(new HollowWatch(service, loop, allocator, Addresses.of(pool.discovery().host(), pool.discovery().port()), false,
                settings(pool, false, 1, 0), seed(plan, service), fault));
        }
        return own;
    }

    private List<HollowWatch> front(NodePlan plan, int siblings, ByteBufAllocator allocator, SeededFault fault) throws UnknownHostException {
        int service = plan.services().get(0);
        NodeConfig.Pool pool = checked(plan).pools().get("service-" + service);
        InetSocketAddress door = new InetSocketAddress(new DoorAddress(plan.node(), service).address(), plan.port());
        return List.of(new HollowWatch(service, loop, allocator, door, true, settings(pool, true, siblings, plan.node() % siblings),
            seed(plan, service), fault));
    }

    private static NodeConfig checked(NodePlan plan) {
        Faults faults = new Faults();
        Value value = SourceFile.parse(plan.name() + ".yaml", plan.yaml(NOWHERE, null), faults);
        NodeConfig config = value == null ? null : NodeConfigReader.read(value, Path.of("."), MachineLimits.UNKNOWN, faults);
        if (faults.any()) {
            throw new IllegalStateException(faults.list().toString());
        }
        return config;
    }

    private static long seed(NodePlan plan, int service) {
        return plan.node() * 1_000L + service;
    }

    private static Settings settings(NodeConfig.Pool pool, boolean asked, int siblings, int self) {
        BalancerApi.RequestClass work = new BalancerApi.RequestClass("work", Effect.SAFE, KeyGroup.ALL, 0, 500 * MS, 0, 2_000 * MS, 1, 0, false);
        return new Settings("", List.of(), asked ? 0 : 1, self, siblings, List.of(work), List.of(), 1, false, asked, Weights.NOMINAL, List.of(),
            0, 0, new Limits(pool.attempts(), false, true, false, true, 1_000 * MS, pool.connectTimeout()),
            new Rules(pool.startCapacity(), pool.cold(), 3, 3_000 * MS, ASKED_DRAIN_GRACE, 8 * MS, asked ? NodePlan.askEveryNanos() : 0));
    }

    /** As a process that is killed: its connections break. */
    void stop() {
        loop.execute(() -> {
            synchronized (watches) {
                watches.forEach(HollowWatch::stop);
            }
        });
    }

    /** Its watches; none before it has started. */
    List<HollowWatch> watches() {
        synchronized (watches) {
            return List.copyOf(watches);
        }
    }
}
