package onyxpaddle;

import java.util.List;
import java.util.Map;
import java.util.Objects;

/**
 * The types of {@link RatioBalancer}'s interface: the settings it starts with, the events it handles and the
 * actions it returns. Times are nanoseconds of the caller's own monotonic clock; spans are nanoseconds; a
 * time or span of 0 means "none" where the field says so.
 */
public final class BalancerApi {

    private BalancerApi() {
    }

    /** The effect of repeating a request. */
    public enum Effect {
        /** May run any number of times. */
        SAFE,
        /** Carries a key, by which one group of servers discards repeats for a limited time. */
        KEYED,
        /** Must not run twice. */
        UNSAFE
    }

    /** The servers that discard each other's repeats of a keyed request. */
    public enum KeyGroup { ALL, ZONE, CELL }

    /** How one attempt ended. */
    public enum Outcome {
        OK(false), ERROR(false), FULL(true), TIMED_OUT(false), CONNECT_FAILED(true), RESET(false),
        CANCELLED(false), NOT_SENT(true),
        /** The server rejects the request as invalid, which does not count against the server. */
        REJECTED(false);

        /** Whether this outcome proves that the request never ran at the server. */
        public final boolean neverRan;

        Outcome(boolean neverRan) {
            this.neverRan = neverRan;
        }
    }

    /** A server's state in the membership list. */
    public enum ServerState { READY, DRAINING, GONE }

    /**
     * What a membership event carries: changed entries, a whole list, the list that the process started with,
     * or nothing because discovery refused.
     */
    public enum ListKind { CHANGES, ALL, CACHED, REFUSED }

    /** The meaning of a server's weight in the membership list. */
    public enum Weights { NONE, NOMINAL, ROUGH, LIVE }

    /** Values that a load report may contain. */
    public enum LoadField { IN_FLIGHT, QUEUE, UTILIZATION, LATENCY_MS, PER_SECOND, ERRORS_PER_SECOND, OTHER }

    /** A class of requests; {@code keyRetention} is the time for which servers remember a key. */
    public record RequestClass(String name, Effect effect, KeyGroup group, long keyRetention, long aim,
            double aimStretch, long deadline, double worth, double lateWorth, boolean streamed) {
        public RequestClass {
            Objects.requireNonNull(name, "classes.name");
            Objects.requireNonNull(effect, "classes.effect");
            Objects.requireNonNull(group, "classes.group");
            require(keyRetention >= 0, "classes.memory");
            require(aim >= 0, "classes.aim");
            require(deadline >= 0, "classes.deadline");
            require(worth >= 0, "classes.worth");
        }
    }

    /** A tenant and its quota of requests per second over all nodes; 0 means no quota. */
    public record Tenant(String name, double quotaPerSecond) {
        public Tenant {
            Objects.requireNonNull(name, "tenants.name");
            require(quotaPerSecond >= 0, "tenants.quotaPerSecond");
        }
    }

    /** What the site allows. */
    public record Limits(int maxAttempts, boolean secondCopies, boolean cancel, boolean probes,
            boolean retryAfter, long maxRetryAfter, long connectTimeout) {
        public Limits {
            require(maxAttempts >= 1, "limits.maxAttempts");
            require(maxRetryAfter >= 0, "limits.maxRetryAfter");
            require(connectTimeout >= 0, "limits.connectTimeout");
        }
    }

    /** Parameters of the cold-start and membership rules. */
    public record Rules(double startCapacity, long coldSpan, double fallMultiple, long fallSpan,
            long drainGrace, long answerSlack, long askEvery) {
        public Rules {
            require(startCapacity >= 0 && startCapacity <= 1, "rules.startCapacity");
            require(coldSpan >= 0, "rules.coldSpan");
            require(fallMultiple >= 0, "rules.fallMultiple");
            require(fallSpan >= 0, "rules.fallSpan");
            require(drainGrace >= 0, "rules.drainGrace");
            require(answerSlack >= 0, "rules.answerSlack");
            require(askEvery >= 0, "rules.askEvery");
        }
    }

    /**
     * A node's settings at its start. The node is number {@code self} of {@code siblings}; {@code tick} is the
     * shortest time between the clock readings of two events.
     */
    public record Settings(String zone, List<String> zones, int tier, int self, int siblings,
            List<RequestClass> classes, List<Tenant> tenants, double overShareWorth, boolean worthByWork,
            boolean mustAskMembership, Weights weights, List<LoadField> loadFields, double crossZonePrice,
            long tick, Limits limits, Rules rules) {
        public Settings {
            zones = List.copyOf(zones);
            classes = List.copyOf(classes);
            tenants = List.copyOf(tenants);
            loadFields = List.copyOf(loadFields);
            Objects.requireNonNull(limits, "limits");
            Objects.requireNonNull(rules, "rules");
            Objects.requireNonNull(weights, "weights");
            require(zones.size() < 2 || (zone != null && !zone.isEmpty()), "zone");
            require(tier >= 0, "tier");
            require(siblings >= 1, "siblings");
            require(self >= 0, "self");
            require(!classes.isEmpty(), "classes");
            require(overShareWorth >= 0, "overShareWorth");
            require(crossZonePrice >= 0, "crossZonePrice");
            require(tick >= 0, "tick");
        }
    }

    /** An entry of a membership list; {@code startedAt} 0 means long ago. */
    public record ServerEntry(String server, String zone, long cell, ServerState state, double weight,
            long startedAt) {
    }

    /** An input of the balancer. */
    public sealed interface Event permits Membership, Arrival, FirstByte, AttemptEnded, ClientGone, Timer,
            Probed, TakenOut, ZoneShares, BodyConsumed {
    }

    /** A change of the server list, or its refusal. */
    public record Membership(ListKind kind, List<ServerEntry> entries) implements Event {
    }

    /** An operator takes a server out of rotation or puts it back; membership lists do not change that. */
    public record TakenOut(String server, boolean out) implements Event {
    }

    /**
     * Factor, 0 to 1, on the chance in the draw of each server of a zone, until the next such event; 1 for zones
     * that are not named.
     */
    public record ZoneShares(Map<String, Double> byZone) implements Event {
        public ZoneShares {
            byZone = Map.copyOf(byZone);
            require(byZone.values().stream().allMatch(s -> s >= 0 && s <= 1), "byZone");
        }
    }

    /** A request arrived; {@code cost} is a hint of its work in seconds, 0 for none. */
    public record Arrival(String request, String requestClass, long deadline, String tenant, double cost,
            boolean clientRetry) implements Event {
    }

    /** The answer of a streamed request has started. */
    public record FirstByte(String request, int attempt, String server, long latency) implements Event {
    }

    /** An attempt has ended; {@code finished} says that the request has its final answer. */
    public record AttemptEnded(String request, int attempt, String server, Outcome outcome, long latency,
            boolean finished, double[] load) implements Event {
    }

    /**
     * An attempt has begun to take the request's body, which is passed on while it arrives and not kept: no
     * further attempt can send it.
     */
    public record BodyConsumed(String request) implements Event {
    }

    /** The client disconnected, or its request is over for another reason. */
    public record ClientGone(String request) implements Event {
    }

    /** A timer set by {@link SetTimer} has expired. */
    public record Timer(String token) implements Event {
    }

    /** A probe was answered or failed. */
    public record Probed(String server, Outcome outcome, long latency, double[] load) implements Event {
    }

    /** An output of the balancer, to be carried out in the order returned. */
    public sealed interface Action permits Send, Cancel, Refuse, Fail, SetTimer, Subscribe, Report {
    }

    /** Start an attempt. Attempts of a request are numbered from 0; a time-out of 0 means the deadline. */
    public record Send(String request, String server, long timeout) implements Action {
    }

    /** Stop waiting for an attempt. */
    public record Cancel(String request, int attempt) implements Action {
    }

    /** Final answer: refused, a retry does no harm; {@code retryAfter} 0 gives no advice. */
    public record Refuse(String request, long retryAfter) implements Action {
    }

    /** Final answer: failed, and the request may have had its effect. */
    public record Fail(String request) implements Action {
    }

    /** Deliver a {@link Timer} after this span. */
    public record SetTimer(long after, String token) implements Action {
    }

    /** Subscribe to changes from discovery. */
    public record Subscribe() implements Action {
    }

    /** A log line for on-call staff. */
    public record Report(String text) implements Action {
    }

    /** Number of listed servers, and of those that are avoided now: not ready, taken out or failing. */
    public record FleetSummary(int listed, int avoided) {
    }

    /**
     * A server's status on a node, for on-call staff.
     *
     * @param doubted listed only by the list that the process was started with, and gone, draining or restarted by the
     *     previous process's knowledge
     * @param chance the share of its draws that failures leave it, 0 to 1
     * @param mean mean of its round trips relative to the expected ones of their class; 0 before the first
     * @param out attempts in flight
     */
    public record ServerStatus(String server, String zone, ServerState state, boolean takenOut, boolean doubted, boolean cold,
            double chance, double mean, int out) {
    }

    /**
     * What a node has learned about one server, by the node's clock: its last round trips as multiples of the expected
     * ones of their class (at most 20, oldest first), decaying failure counts, and the credit of a cold server.
     * {@code leaving}: it was draining.
     */
    public record ServerSnapshot(String server, long startedAt, boolean leaving, List<Double> trips, long sampledAt, double errorShare,
            double failures, long failedAt, double full, long fullAt, double credit) {
        public ServerSnapshot {
            trips = List.copyOf(trips);
            require(trips.size() <= 20 && trips.stream().allMatch(t -> t >= 0 && t < 1e12), "trips");
            require(errorShare >= 0 && errorShare <= 1, "errorShare");
            require(failures >= 0 && failures < 1e6 && full >= 0 && full < 1e6, "failures");
            require(credit >= 0 && credit <= 2, "credit");
        }
    }

    /** What a node has learned about a class: its mean round trip in nanoseconds, and the regression on the cost hint. */
    public record ClassSnapshot(String name, double trip, double deviation, double cost, double costVariance,
            double covariance, int seen) {
        public ClassSnapshot {
            require(trip >= 0 && trip < 1e15 && deviation >= 0 && deviation < 1e15, "trip");
            require(Double.isFinite(cost) && Double.isFinite(costVariance) && Double.isFinite(covariance), "cost");
            require(seen >= 0, "seen");
        }
    }

    /**
     * State that a node hands over to the process that replaces it, without requests. {@code whole}: it has every server
     * on the node's list, so that a server that is missing was gone.
     */
    public record BalancerSnapshot(List<ServerSnapshot> servers, boolean whole, List<ClassSnapshot> classes, List<String> takenOut,
            double admitLimit, boolean lateSeen, double retriesSaved, double usualRank, double usualWorth) {
        public BalancerSnapshot {
            takenOut = List.copyOf(takenOut);
            servers = List.copyOf(servers);
            classes = List.copyOf(classes);
            require(admitLimit >= 1 && admitLimit < 1e6, "admitLimit");
            require(retriesSaved >= 0 && retriesSaved < 1e6, "retriesSaved");
            require(usualRank >= 0 && usualRank < 1e15 && usualWorth >= 0 && usualWorth < 1e15, "usualWorth");
        }
    }

    private static void require(boolean valid, String setting) {
        if (!valid) {
            throw new IllegalArgumentException("setting out of range: " + setting);
        }
    }
}
