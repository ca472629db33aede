package onyxpaddle.rpc;

import java.util.Map;
import java.util.function.Supplier;
import onyxpaddle.BalancerApi.RequestClass;
import onyxpaddle.node.Dispatcher;
import onyxpaddle.node.Exchange.Terms;
import onyxpaddle.node.SharedLimit;
import onyxpaddle.route.Procedure;
import onyxpaddle.route.ProcedureTable;

/**
 * Routes the calls that arrive at a listener: selects the pool and the class of each call, and determines how long
 * its caller waits.
 */
public final class RpcCallRouter {
    /** Factors by which the worth of a class may be scaled for a call, in descending order. */
    private static final double[] WORTH_FACTORS = {1, 0.5, 0.25};
    private static final double NANOS_PER_MILLI = 1e6;

    /**
     * A pool to which calls are routed.
     *
     * @param memory the pool's share of the memory for bodies
     * @param maxPayload the most bytes of the parameters of a call, and of a reply
     */
    public record Target(Dispatcher pool, SharedLimit.Share memory, long maxPayload) {
    }

    /**
     * The request classes derived from one configured class: with and without an idempotency key, each for every
     * worth factor, and one for notifications, which are never repeated and whose response times are meaningless.
     */
    public record ClassVariants(RequestClass keyed, RequestClass unkeyed) {
        private static final String[] FACTOR_SUFFIXES = {"", "/half", "/quarter"};

        /** All variants, to be declared to the decision module of a pool. */
        public java.util.List<RequestClass> all() {
            java.util.List<RequestClass> all = new java.util.ArrayList<>();
            for (int factor = 0; factor < WORTH_FACTORS.length; factor++) {
                all.add(scaled(keyed, factor));
                if (unkeyed != keyed) {
                    all.add(scaled(unkeyed, factor));
                }
            }
            all.add(notification());
            return all;
        }

        /** The variant for a call; {@code worth} is NaN if the caller did not give it. */
        RequestClass select(boolean hasKey, double worth) {
            int factor = 0;
            while (factor + 1 < WORTH_FACTORS.length && WORTH_FACTORS[factor + 1] >= worth) {
                factor++;
            }
            return scaled(hasKey ? keyed : unkeyed, factor);
        }

        RequestClass notification() {
            return new RequestClass(keyed.name() + "/notice", onyxpaddle.BalancerApi.Effect.UNSAFE, keyed.group(), 0,
                keyed.aim(), keyed.aimStretch(), keyed.deadline(), keyed.worth(), keyed.lateWorth(), false);
        }

        private static RequestClass scaled(RequestClass c, int factor) {
            return factor == 0 ? c : new RequestClass(c.name() + FACTOR_SUFFIXES[factor], c.effect(), c.group(), c.keyRetention(), c.aim(),
                c.aimStretch(), c.deadline(), c.worth() * WORTH_FACTORS[factor], c.lateWorth(), false);
        }
    }

    record RoutedCall(Target target, Terms terms, RpcCallHead head) {
    }

    private final ProcedureTable procedures;
    private final Map<String, Target> pools;
    private final Map<String, ClassVariants> classes;
    private final String tenant;
    private final Supplier<String> requestIds;
    final long idleTimeout;
    final int maxOpenCalls;
    private long maxCallerTimeout;
    private long maxPayload;

    /**
     * @param tenant used for calls that name none; may be null
     * @param idleTimeout of a connection without calls, in nanoseconds
     * @param maxOpenCalls the limit of calls in progress on one connection
     * @param requestIds supplies an id that is unique within the node for each call
     */
    public RpcCallRouter(ProcedureTable procedures, Map<String, Target> pools, Map<String, ClassVariants> classes, String tenant,
            long idleTimeout, int maxOpenCalls, Supplier<String> requestIds) {
        this.procedures = procedures;
        this.pools = Map.copyOf(pools);
        this.classes = Map.copyOf(classes);
        this.tenant = tenant;
        this.idleTimeout = idleTimeout;
        this.maxOpenCalls = maxOpenCalls;
        this.requestIds = requestIds;
        for (Procedure p : procedures.procedures()) {
            maxCallerTimeout = Math.max(maxCallerTimeout, classes.get(p.requestClass()).keyed().deadline());
            maxPayload = Math.max(maxPayload, pools.get(p.pool()).maxPayload());
        }
    }

    /** The longest time that any caller of this listener waits, in nanoseconds. */
    long maxCallerTimeout() {
        return maxCallerTimeout;
    }

    /** The most bytes of parameters that any procedure of this listener accepts. */
    long maxPayload() {
        return maxPayload;
    }

    /** Returns null if no procedure matches the method. */
    RoutedCall route(String method, int params, boolean notification, Envelope envelope, String caller) {
        Procedure procedure = procedures.find(method);
        if (procedure == null) {
            return null;
        }
        Target target = pools.get(procedure.pool());
        Envelope metadata = envelope == null ? Envelope.NONE : envelope;
        ClassVariants variants = classes.get(procedure.requestClass());
        RpcCallHead head = new RpcCallHead(method, params, notification, metadata, procedure.mapped(method), caller);
        boolean keyed = metadata.key() != null && target.pool().tellsKeys(head);
        RequestClass requestClass = notification ? variants.notification() : variants.select(keyed, metadata.worth());
        long callerTimeout = Double.isNaN(metadata.expires()) ? requestClass.deadline()
            : (long) Math.min(requestClass.deadline(), metadata.expires() * NANOS_PER_MILLI);
        Terms terms = new Terms(requestIds.get(), requestClass, callerTimeout,
            metadata.tenant() == null ? tenant : metadata.tenant(), 0, metadata.retry());
        return new RoutedCall(target, terms, head);
    }
}
