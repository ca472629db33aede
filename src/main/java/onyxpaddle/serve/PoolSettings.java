package onyxpaddle.serve;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import onyxpaddle.BalancerApi;
import onyxpaddle.BalancerApi.Effect;
import onyxpaddle.BalancerApi.KeyGroup;
import onyxpaddle.BalancerApi.Limits;
import onyxpaddle.BalancerApi.Rules;
import onyxpaddle.BalancerApi.ServerEntry;
import onyxpaddle.BalancerApi.ServerState;
import onyxpaddle.BalancerApi.Settings;
import onyxpaddle.BalancerApi.Tenant;
import onyxpaddle.BalancerApi.Weights;
import onyxpaddle.config.HostPort;
import onyxpaddle.config.NodeConfig;
import onyxpaddle.config.NodeConfig.Pool;
import onyxpaddle.config.NodeConfig.RequestClass;
import onyxpaddle.config.NodeConfig.Server;
import onyxpaddle.http.PlainRequestDialect.Classes;
import onyxpaddle.node.Addresses;
import onyxpaddle.node.ServerList;
import onyxpaddle.rpc.RpcCallRouter;
import onyxpaddle.rpc.RpcUpstream;

/** Converts a configuration to the balancer's settings. */
final class PoolSettings {
    /**
     * Not the first layer: a sidecar admits requests up to the limits of its pools. The balancer's adaptive limit is for clients of the
     * first tier.
     */
    private static final int INNER_LAYER = 1;
    private static final long MS = 1_000_000L;
    private static final long DRAIN_GRACE = 2_000 * MS;
    private static final long ANSWER_SLACK = 8 * MS;
    private static final long MAX_RETRY_AFTER = 1_500 * MS;
    private static final double FALL_MULTIPLE = 3;
    private static final long FALL_SPAN = 3_000 * MS;
    private static final String UNKEYED = "/unkeyed";

    private PoolSettings() {
    }

    static Settings of(Pool pool, NodeConfig config) {
        List<BalancerApi.RequestClass> classes = new ArrayList<>();
        for (RequestClass c : config.classesOf(pool.name())) {
            Classes variants = classes(c);
            if (config.hasProcedures(pool.name())) {
                // RPC calls add classes of their own; a pool that serves HTTP only does not need them.
                classes.addAll(callClasses(c).all());
                continue;
            }
            classes.add(variants.keyed());
            if (variants.unkeyed() != variants.keyed()) {
                classes.add(variants.unkeyed());
            }
        }
        List<Tenant> tenants = config.tenant() == null ? List.of() : List.of(new Tenant(config.tenant(), 0));
        return new Settings("", List.of(), INNER_LAYER, 0, 1, classes, tenants, 1, false, false, Weights.NOMINAL, List.of(), 0,
            0, new Limits(pool.attempts(), false, true, false, true, MAX_RETRY_AFTER, pool.connectTimeout()),
            new Rules(pool.startCapacity(), pool.cold(), FALL_MULTIPLE, FALL_SPAN, DRAIN_GRACE, ANSWER_SLACK, 0));
    }

    /** A class for requests with a key and one for those without: without a key a repeat of a request cannot be recognized. */
    static Classes classes(RequestClass c) {
        Effect effect = switch (c.effect()) {
            case SAFE -> c.retry() ? Effect.SAFE : Effect.UNSAFE;
            case KEYED -> c.retry() ? Effect.KEYED : Effect.UNSAFE;
            case UNSAFE -> Effect.UNSAFE;
        };
        BalancerApi.RequestClass keyed = of(c, c.name(), effect);
        return new Classes(keyed, effect == Effect.KEYED ? of(c, c.name() + UNKEYED, Effect.UNSAFE) : keyed);
    }

    private static BalancerApi.RequestClass of(RequestClass c, String name, Effect effect) {
        return new BalancerApi.RequestClass(name, effect, KeyGroup.ALL, effect == Effect.KEYED ? c.memory() : 0, c.aim(), 0,
            c.deadline(), c.worth(), c.lateWorth(), false);
    }

    static Map<String, Classes> classes(NodeConfig config) {
        Map<String, Classes> classes = new HashMap<>();
        config.classes().forEach((name, c) -> classes.put(name, classes(c)));
        return classes;
    }

    /** Like {@link #classes(RequestClass)}, for MessagePack-RPC calls. */
    static RpcCallRouter.ClassVariants callClasses(RequestClass c) {
        Classes variants = classes(c);
        return new RpcCallRouter.ClassVariants(variants.keyed(), variants.unkeyed());
    }

    static Map<String, RpcCallRouter.ClassVariants> callClasses(NodeConfig config) {
        Map<String, RpcCallRouter.ClassVariants> classes = new HashMap<>();
        config.classes().forEach((name, c) -> classes.put(name, callClasses(c)));
        return classes;
    }

    static List<String> classNames(Settings settings) {
        return settings.classes().stream().map(BalancerApi.RequestClass::name).toList();
    }

    static ServerList roster(List<Server> servers) {
        List<ServerList.Host> hosts = new ArrayList<>();
        for (Server server : servers) {
            ServerState state = server.draining() ? ServerState.DRAINING : ServerState.READY;
            hosts.add(new ServerList.Host(new ServerEntry(server.id(), server.zone(), 0, state, server.weight(), 0),
                address(server.address()), server.rpc() == null ? Map.of()
                    : Map.of(RpcUpstream.PROTOCOL, address(server.rpc()))));
        }
        return new ServerList(0, true, hosts);
    }

    private static InetSocketAddress address(HostPort at) {
        return at == null ? null : Addresses.of(at.host(), at.port());
    }
}
