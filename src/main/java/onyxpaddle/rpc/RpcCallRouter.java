package onyxpaddle.rpc;

import java.util.Map;
import java.util.function.Supplier;
import onyxpaddle.BalancerApi.RequestClass;
import onyxpaddle.node.Dispatcher;
import onyxpaddle.node.Exchange.Terms;
import onyxpaddle.node.SharedLimit;
import onyxpaddle.route.Procedure;
import onyxpaddle.route.ProcedureTable;

/** What a listener makes of the calls that come to it: which pool, which class, how long the caller waits. */
public final class RpcCallRouter {
    /** Parts of the class's worth that a call may be given, the highest first. */
    private static final double[] PARTS = {1, 0.5, 0.25};
    private static final double MILLI = 1e6;

    /** A pool as calls see it; {@code payload}: the most bytes of parameters, and of a reply. */
    public record Target(Dispatcher pool, SharedLimit.Share bytes, long payload) {
    }

    /**
     * The kinds of one class: with a key and without, each for the parts of its worth, and for notifications, which are
     * never repeated and whose time to an answer says nothing.
     */
    public record ClassVariants(RequestClass keyed, RequestClass unkeyed) {
        private static final String[] PART_NAMES = {"", "/half", "/quarter"};

        /** All that a pool's module should know. */
        public java.util.List<RequestClass> all() {
            java.util.List<RequestClass> all = new java.util.ArrayList<>();
            for (int part = 0; part < PARTS.length; part++) {
                all.add(at(keyed, part));
                if (unkeyed != keyed) {
                    all.add(at(unkeyed, part));
                }
            }
            all.add(notice());
            return all;
        }

        /** The kind for a call; {@code worth}: NaN where the caller doesn't say. */
        RequestClass of(boolean hasKey, double worth) {
            int part = 0;
            while (part + 1 < PARTS.length && PARTS[part + 1] >= worth) {
                part++;
            }
            return at(hasKey ? keyed : unkeyed, part);
        }

        RequestClass notice() {
            return new RequestClass(keyed.name() + "/notice", onyxpaddle.BalancerApi.Effect.UNSAFE, keyed.group(), 0,
                keyed.aim(), keyed.aimStretch(), keyed.deadline(), keyed.worth(), keyed.lateWorth(), false);
        }

        private static RequestClass at(RequestClass c, int part) {
            return part == 0 ? c : new RequestClass(c.name() + PART_NAMES[part], c.effect(), c.group(), c.keyRetention(), c.aim(),
                c.aimStretch(), c.deadline(), c.worth() * PARTS[part], c.lateWorth(), false);
        }
    }

    /** A call that has a pool to go to. */
    record Taken(Target target, Terms terms, RpcCallHead head) {
    }

    private final ProcedureTable procedures;
    private final Map<String, Target> pools;
    private final Map<String, ClassVariants> classes;
    private final String tenant;
    private final Supplier<String> ids;
    final long longestIdle;
    final int mostOpen;
    private long maxCallerTimeout;
    private long largest;

    /**
     * {@code tenant} may be null, and stands where a caller names none; {@code ids}: a new one for each call, among all
     * of the node; {@code longestIdle}: of a connection without calls, in nanoseconds; {@code mostOpen}: calls at once
     * on one connection.
     */
    public RpcCallRouter(ProcedureTable procedures, Map<String, Target> pools, Map<String, ClassVariants> classes, String tenant,
            long longestIdle, int mostOpen, Supplier<String> ids) {
        this.procedures = procedures;
        this.pools = Map.copyOf(pools);
        this.classes = Map.copyOf(classes);
        this.tenant = tenant;
        this.longestIdle = longestIdle;
        this.mostOpen = mostOpen;
        this.ids = ids;
        for (Procedure p : procedures.procedures()) {
            maxCallerTimeout = Math.max(maxCallerTimeout, classes.get(p.requestClass()).keyed().deadline());
            largest = Math.max(largest, pools.get(p.pool()).payload());
        }
    }

    /** The longest that any caller here waits, in nanoseconds. */
    long maxCallerTimeout() {
        return maxCallerTimeout;
    }

    /** The most bytes of parameters that any procedure here takes. */
    long largest() {
        return largest;
    }

    /** Null where no procedure holds. */
    Taken read(String method, int params, boolean notification, Envelope envelope, String caller) {
        Procedure procedure = procedures.find(method);
        if (procedure == null) {
            return null;
        }
        Target target = pools.get(procedure.pool());
        Envelope said = envelope == null ? Envelope.NONE : envelope;
        ClassVariants kinds = classes.get(procedure.requestClass());
        RequestClass kind = notification ? kinds.notice() : kinds.of(said.key() != null, said.worth());
        long callerTimeout = Double.isNaN(said.expires()) ? kind.deadline()
            : (long) Math.min(kind.deadline(), said.expires() * MILLI);
        Terms terms = new Terms(ids.get(), kind, callerTimeout, said.tenant() == null ? tenant : said.tenant(), 0, said.retry());
        return new Taken(target, terms, new RpcCallHead(method, params, notification, said, procedure.mapped(method), caller));
    }
}
