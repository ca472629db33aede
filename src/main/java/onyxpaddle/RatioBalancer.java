package onyxpaddle;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeSet;
import onyxpaddle.BalancerApi.*;

/**
 * Makes all decisions of a balancer node. Its settings, events and actions are in {@link BalancerApi}.
 *
 * <p>Algorithm: the averaged Ratio approach (Kueting et al., section 3.2). A server's mean t is that of this
 * node's own last completed round trips; with t_b the lowest, f = t_b / t and p = f / sum(f); two servers are
 * drawn by p with replacement, and the request goes to the one with the lower mean.
 *
 * <p>The four rules and where they are enforced: (1) one final answer in time (deadlines, {@link #finish});
 * (2) no effect twice ({@link #mayAttempt}, {@link #mayRefuse}); (3) drains ({@link #draw}: only READY
 * servers); (4) cold servers ({@link #accrueCredit}).
 *
 * <p>Single-threaded. The caller passes in the time, and all randomness comes from the seed.
 */
public final class RatioBalancer {
    /** Number of round trips that a server's mean is taken over (the paper's averaged variant). */
    private static final int WINDOW = 20;
    /** Time constant, in nanoseconds, by which an old mean approaches t_b and a share of errors decays. */
    private static final double DECAY_TIME = 10e9;
    /**
     * Shorter time constant for outcomes of a full server, which has room again as soon as a few calls have
     * left. Guards against many calls that meet a full server at once, which kept it idle for seconds; it
     * should cover any refusal that passes by itself. A server that stays full costs a call now and then.
     */
    private static final double FULL_DECAY_TIME = 1e9;
    private static final double MAX_FULL_COUNT = 3;
    private static final double ERROR_RATE_WEIGHT = 0.1;
    /** A server whose failures leave it this share of its draws or less counts as avoided. */
    private static final double AVOIDED_BELOW = 0.25;
    /** Retry budget: further attempts of requests that may have run, per arrival. Tiers multiply retries. */
    private static final double RETRY_RATIO = 0.1;
    private static final double MAX_RETRIES_SAVED = 10;
    /**
     * Limit of the calls to a cold server, as a part of the rule's multiple of what a warm one serves, scaled
     * by the cold one's present capacity. The sum over all nodes stays within the rule even where warm
     * servers were used to capacity.
     */
    private static final double COLD_FRACTION_OF_SERVED = 2.0 / 3;
    /** The same limit from arrivals, while no warm server has served a call of this node. */
    private static final double COLD_FRACTION_OF_ARRIVALS = 0.7;
    /**
     * Part of the ratio of all ready servers to the zone's own that {@link #isolationFactor()} uses; below 1,
     * as the nodes of an isolated zone may have more load than the average node.
     */
    private static final double ISOLATED_ZONE_FRACTION = 0.75;
    private static final double MAX_CREDIT = 2;
    /** Share of late outcomes at which the admission limit is in equilibrium. */
    private static final double LATE_FRACTION = 0.12;
    /** Multiple of the aim beyond which a round trip counts as late for admission. */
    private static final double LATE_AIM_FACTOR = 1.0;
    /** Part of the limit open to requests that are worth less than usual for their work. */
    private static final double UNRESERVED_FRACTION = 0.7;
    /**
     * Use of the limit below which a late outcome does not lower it. Guards against a limit that sinks to
     * what low traffic needs, so that a node which takes over another one's clients refuses for seconds what
     * its servers could serve; it should cover any step in the load. The limit falls a little later where
     * servers slow down.
     */
    private static final double MIN_USE_TO_DECREASE = 0.5;
    private static final double INITIAL_LIMIT = 8;
    /** Healthy servers that a node draws from: few enough to keep latency windows and connections fresh. */
    private static final int SUBSET_SIZE = 12;
    /** Minimum number of nodes that draw from each server, so that no server is left out. */
    private static final int MIN_NODES_PER_SERVER = 4;
    /**
     * A node with a larger subset draws from a random sample of it: this many healthy servers, found among at
     * most {@link #MAX_EXAMINED}. Guards against decisions whose cost grows with the list (0.6 ms at 6,000
     * servers). Where nearly all servers are unhealthy, a draw may miss the healthy ones, and the next one
     * finds them.
     */
    private static final int SAMPLE_SIZE = 24;
    private static final int MAX_EXAMINED = 96;
    /** Order of the servers by hash, the same on all nodes. */
    private static final Comparator<Server> RING_ORDER = Comparator.<Server>comparingInt(s -> s.ringPosition)
        .thenComparing(s -> s.id);
    /** Relative increase of the mean of a server in another zone, per unit of the cross-zone price. */
    private static final double CROSS_ZONE_SLOWDOWN = 50;
    private static final long REDRAW_INTERVAL = 20_000_000L;
    /** Nodes must apply a change within 6 s after discovery has it; half of that is left for the call. */
    private static final double MAX_RESUBSCRIBE_DELAY = 2.5e9;
    /** Protects discovery whatever interval the settings name, or if they name none. */
    private static final double MIN_RESUBSCRIBE_DELAY = 0.5e9;
    private static final int MAX_TAKEN_OUT = 10_000;
    /** How long what was learnt of a server that has left the list is kept for its return, in nanoseconds. */
    private static final long DEPARTED_RETENTION = 600_000_000_000L;
    private static final int MAX_DEPARTED = 4_096;

    private final Settings settings;
    private final SplittableRandom random;
    private final Map<String, Server> servers = new LinkedHashMap<>();
    /** Servers that have left the list, the longest departed first. */
    private final Map<String, Server> departed = new LinkedHashMap<>();
    /** Servers that operators took out of rotation; kept until they are put back, whatever lists say. */
    private final Set<String> takenOut = new LinkedHashSet<>();
    private final Map<String, ZoneState> zones = new HashMap<>();
    /** Snapshots of servers that are not listed yet; empty from the first whole list on. */
    private final Map<String, ServerSnapshot> pendingSnapshots = new HashMap<>();
    /** The restored snapshot has every server that the previous process listed. */
    private boolean snapshotComplete;
    /** Discovery has sent a list, or changes since the list that the process was started with. */
    private boolean discoveryHeard;
    /** The servers that may be sent to, in {@link #RING_ORDER}. */
    private final List<Server> ready = new ArrayList<>();
    /** The servers that the present draw examines. */
    private Server[] candidates = new Server[16];
    /** The ready servers that are cold; the one that will be warm first comes first. */
    private final TreeSet<Server> cold = new TreeSet<>(
        Comparator.<Server>comparingLong(s -> s.startedAt).thenComparing(s -> s.id));
    private final CallRate servedRate = new CallRate();
    private final CallRate arrivalRate = new CallRate();
    private double totalSize;
    /** See {@link #isolationFactor()}. */
    private double isolationFactor = 1;
    /** Number of servers that the last draw was from, or that its sample was taken from. */
    private int lastSubsetSize = 1;
    private final Map<String, LatencyModel> classes = new HashMap<>();
    private final LatencyModel unknownClass;
    private final Map<String, Request> requests = new HashMap<>();
    private final PriorityQueue<Wakeup> wakeups = new PriorityQueue<>();
    private final PriorityQueue<Request> waiting = new PriorityQueue<>();
    /** Requests that wait for a server to be listed. */
    private final Set<Request> withoutServer = new LinkedHashSet<>();
    private final Map<String, Quota> quotas = new HashMap<>();
    private boolean lateSeen;
    private double usualRank;
    private double usualWorth;
    private double admitted;
    private double admitLimit = INITIAL_LIMIT;
    private double[] weights = new double[16];
    /** Results of {@link #computeWeights}: the best health among candidates, the weight without credit. */
    private double bestHealth;
    private double creditlessWeight;
    private double retriesSaved = MAX_RETRIES_SAVED / 2;
    private long timerAt = Long.MAX_VALUE;
    private long sequence;
    private boolean started;
    private boolean subscribing;
    private boolean subscribed;
    private int refusedSubscriptions;
    private long now;
    private List<Action> actions;

    public RatioBalancer(Settings settings, long seed) {
        this.settings = java.util.Objects.requireNonNull(settings, "settings");
        this.random = new SplittableRandom(seed);
        for (RequestClass c : settings.classes()) {
            classes.put(c.name(), new LatencyModel(c));
        }
        for (Tenant tenant : settings.tenants()) {
            if (tenant.quotaPerSecond() > 0) {
                quotas.put(tenant.name(), new Quota(tenant.quotaPerSecond() / settings.siblings()));
            }
        }
        // A class that the settings do not name gets the strictest treatment.
        unknownClass = new LatencyModel(
            new RequestClass("", Effect.UNSAFE, KeyGroup.ALL, 0, 0, 0, 0, 1, 0, false));
    }

    /** Handles one event at the caller's time and returns the actions in order. */
    public List<Action> handle(long nowNanos, Event event) {
        now = nowNanos;
        actions = new ArrayList<>(4);
        if (!started) {
            started = true;
            scheduleFirstSubscription();
        }
        if (event instanceof Arrival arrival) {
            onArrival(arrival);
        } else if (event instanceof AttemptEnded ended) {
            onAttemptEnded(ended);
        } else if (event instanceof Membership update) {
            onMembership(update);
        } else if (event instanceof TakenOut override) {
            takeOut(override.server(), override.out());
        } else if (event instanceof ZoneShares shares) {
            zones.values().forEach(z -> z.share = 1);
            shares.byZone().forEach((name, share) ->
                zones.computeIfAbsent(name, zone -> new ZoneState()).share = share);
        } else if (event instanceof Timer) {
            onTimer();
        } else if (event instanceof FirstByte first) {
            onFirstByte(first);
        } else if (event instanceof BodyConsumed body) {
            onBodyConsumed(body);
        } else if (event instanceof ClientGone gone) {
            Request r = requests.get(gone.request());
            if (r != null) {
                close(r);
            }
        }
        if (!withoutServer.isEmpty() && !ready.isEmpty()) {
            wakeRequestsWithoutServer();
        }
        admitWaiting();
        armTimer();
        return actions;
    }

    // ---- membership ----

    private void onMembership(Membership update) {
        if (update.kind() == ListKind.REFUSED) {
            // The present list stays valid. Ask again with a growing back-off to protect discovery.
            subscribing = false;
            subscribed = false;
            refusedSubscriptions = Math.min(refusedSubscriptions + 1, 6);
            schedule(now + (long) (resubscribeDelay() * (0.5 + random.nextDouble() / 2)), null);
            return;
        }
        if (update.kind() != ListKind.CACHED && subscribing) {
            subscribed = true;
            refusedSubscriptions = 0;
        }
        if (update.kind() != ListKind.CHANGES) {
            Set<String> missing = new LinkedHashSet<>(servers.keySet());
            update.entries().forEach(e -> missing.remove(e.server()));
            missing.forEach(this::remove);
        }
        update.entries().forEach(this::applyEntry);
        if (update.kind() != ListKind.CACHED && !discoveryHeard) {
            discoveryHeard = true;
            for (Server server : servers.values()) {
                server.doubted = false;
                reindex(server);
            }
        }
        if (update.kind() == ListKind.ALL) {
            pendingSnapshots.clear();
        }
        estimateLimit();
    }

    private double resubscribeDelay() {
        double longest = settings.rules().askEvery() > 0
            ? Math.min(MAX_RESUBSCRIBE_DELAY, 0.8 * settings.rules().askEvery()) : MAX_RESUBSCRIBE_DELAY;
        return Math.max(MIN_RESUBSCRIBE_DELAY, Math.min(1e9 * (1 << refusedSubscriptions), longest));
    }

    /** Whether operators have taken the server out of rotation. */
    public boolean isTakenOut(String server) {
        return takenOut.contains(server);
    }

    public boolean isListed(String server) {
        return servers.containsKey(server);
    }

    private void takeOut(String server, boolean out) {
        if (!out) {
            takenOut.remove(server);
        } else if (takenOut.size() < MAX_TAKEN_OUT) {
            takenOut.add(server);
        }
        if (servers.containsKey(server)) {
            reindex(servers.get(server));
        }
        estimateLimit();
    }

    /** Adds a server to those that may be sent to, or removes it, after any change of its state. */
    private void reindex(Server server) {
        int index = Collections.binarySearch(ready, server, RING_ORDER);
        boolean eligible = servers.get(server.id) == server && server.state == ServerState.READY
            && !server.doubted && !takenOut.contains(server.id);
        if (index >= 0) {
            server.zoneState.ready--;
            totalSize = ready.size() == 1 ? 0 : totalSize - server.sizeInTotal;
            cold.remove(server);
        }
        if (eligible && index < 0) {
            ready.add(-index - 1, server);
        } else if (!eligible && index >= 0) {
            ready.remove(index);
        }
        server.isReady = eligible;
        if (eligible) {
            server.zoneState.ready++;
            server.sizeInTotal = server.size;
            totalSize += server.size;
            if (isCold(server)) {
                cold.add(server);
            }
        }
    }

    private void estimateLimit() {
        if (admitLimit == INITIAL_LIMIT) {
            admitLimit = Math.max(INITIAL_LIMIT, 6.0 * ready.size() / settings.siblings());
        }
    }

    private void applyEntry(ServerEntry entry) {
        if (entry.state() == ServerState.GONE) {
            remove(entry.server());
            return;
        }
        Server server = servers.get(entry.server());
        if (server == null || server.startedAt != entry.startedAt()) {
            Server previous = server;
            server = returned(entry);
            boolean isNew = server == null;
            if (isNew) {
                server = new Server(entry,
                    zones.computeIfAbsent(String.valueOf(entry.zone()), z -> new ZoneState()));
                // Random, so that the nodes do not all send their first call at the same moment.
                server.credit = random.nextDouble();
            }
            servers.put(entry.server(), server);
            if (previous != null) {
                reindex(previous);
            }
            if (isNew) {
                restoreServer(server);
            }
        }
        server.state = entry.state();
        server.size = entry.weight() > 0 ? entry.weight() : 1;
        reindex(server);
    }

    /** Removes a server from the list and keeps what was learnt of it for a while. */
    private void remove(String id) {
        Server server = servers.remove(id);
        if (server == null) {
            return;
        }
        reindex(server);
        server.departedAt = now;
        departed.remove(id);
        departed.put(id, server);
        Iterator<Server> oldest = departed.values().iterator();
        Server first = oldest.next();
        if (departed.size() > MAX_DEPARTED || now - first.departedAt > DEPARTED_RETENTION) {
            oldest.remove();
        }
    }

    /** The server with what was learnt of it, if the entry is of the same start and it left not long ago. */
    private Server returned(ServerEntry entry) {
        Server server = departed.remove(entry.server());
        if (server == null || server.startedAt != entry.startedAt() || server.cell != entry.cell()
                || !server.zone.equals(String.valueOf(entry.zone()))
                || now - server.departedAt > DEPARTED_RETENTION) {
            return null;
        }
        // All nodes see the return at the same moment, so no credit is saved up for it.
        server.credit = Math.min(server.credit, random.nextDouble());
        server.creditUpdatedAt = now;
        server.doubted &= !discoveryHeard;
        return server;
    }

    private void scheduleFirstSubscription() {
        if (settings.mustAskMembership()) {
            double spread = Math.min(0.4 * settings.rules().askEvery(), 50e6 * settings.siblings());
            schedule(now + (long) (random.nextDouble() * spread), null);
        }
    }

    private void subscribe() {
        if (!subscribing && !subscribed) {
            subscribing = true;
            actions.add(new Subscribe());
        }
    }

    // ---- handover ----

    /** The learned state that the process replacing this one continues from. */
    public BalancerSnapshot snapshot(long nowNanos) {
        List<ServerSnapshot> serverSnapshots = new ArrayList<>();
        for (Server s : servers.values()) {
            List<Double> trips = new ArrayList<>();
            for (int i = 0; i < s.count; i++) {
                trips.add(s.window[(s.next - s.count + i + WINDOW) % WINDOW]);
            }
            boolean leaving = s.state == ServerState.DRAINING || s.doubted;
            serverSnapshots.add(new ServerSnapshot(s.id, s.startedAt, leaving, trips, s.sampledAt,
                s.errorShare, s.failures.currentCount(nowNanos), nowNanos, s.full.currentCount(nowNanos),
                nowNanos, Math.max(0, s.credit)));
        }
        List<ClassSnapshot> classSnapshots = new ArrayList<>();
        classes.values().forEach(model -> classSnapshots.add(model.snapshot()));
        boolean listed = discoveryHeard || !servers.isEmpty();
        return new BalancerSnapshot(serverSnapshots, listed, classSnapshots, List.copyOf(takenOut),
            admitLimit, lateSeen, retriesSaved, usualRank, usualWorth);
    }

    /**
     * Continues from the learned state of the previous process; to be called before the first request. A
     * server is the same if its id and start time are. The state of a server that is not listed yet is kept
     * until the next whole list.
     */
    public void restore(BalancerSnapshot snapshot) {
        snapshot.servers().forEach(s -> pendingSnapshots.put(s.server(), s));
        snapshotComplete = snapshot.whole();
        servers.values().forEach(this::restoreServer);
        snapshot.takenOut().forEach(server -> takeOut(server, true));
        for (ClassSnapshot c : snapshot.classes()) {
            LatencyModel model = classes.get(c.name());
            if (model != null) {
                model.restore(c);
            }
        }
        admitLimit = snapshot.admitLimit();
        lateSeen = snapshot.lateSeen();
        retriesSaved = Math.min(MAX_RETRIES_SAVED, snapshot.retriesSaved());
        usualRank = snapshot.usualRank();
        usualWorth = snapshot.usualWorth();
        servers.values().forEach(this::reindex);
        estimateLimit();
    }

    /**
     * Restores one server from its snapshot. A list from before the start may be older than the previous
     * process's: a server that had left that process's list, was draining there, or has restarted since gets
     * no requests until discovery has answered.
     */
    private void restoreServer(Server server) {
        ServerSnapshot snapshot = pendingSnapshots.remove(server.id);
        if (!discoveryHeard) {
            server.doubted = snapshot == null ? snapshotComplete
                : snapshot.leaving() && snapshot.startedAt() >= server.startedAt
                    || snapshot.startedAt() > server.startedAt;
        }
        if (snapshot != null && snapshot.startedAt() == server.startedAt) {
            snapshot.trips().forEach(trip -> server.add(trip, snapshot.sampledAt()));
            server.errorShare = snapshot.errorShare();
            server.failures.restore(snapshot.failures(), snapshot.failedAt());
            server.full.restore(snapshot.full(), snapshot.fullAt());
            server.credit = snapshot.credit();
        }
    }

    // ---- the fleet ----

    /** Counts of listed and of avoided servers. */
    public FleetSummary fleet(long nowNanos) {
        int avoided = 0;
        for (Server server : servers.values()) {
            boolean unavailable = server.state != ServerState.READY || server.doubted
                || takenOut.contains(server.id);
            avoided += unavailable || server.isUnhealthy(nowNanos) ? 1 : 0;
        }
        return new FleetSummary(servers.size(), avoided);
    }

    /** The status of each listed server. */
    public List<ServerStatus> serverStatuses(long nowNanos) {
        List<ServerStatus> all = new ArrayList<>(servers.size());
        for (Server s : servers.values()) {
            boolean coldNow = s.startedAt > 0 && nowNanos - s.startedAt < settings.rules().coldSpan();
            all.add(new ServerStatus(s.id, s.zone, s.state, takenOut.contains(s.id), s.doubted, coldNow,
                s.healthFactor(nowNanos), s.count == 0 ? 0 : s.mean(), s.inFlight.size()));
        }
        return all;
    }

    // ---- observation ----

    private void recordSuccess(Request r, Attempt attempt, long latency) {
        Server server = attempt.server;
        server.add(latency / r.model.expected(r.cost), now);
        server.failures.clear();
        server.full.clear();
        server.errorShare -= ERROR_RATE_WEIGHT * server.errorShare;
        server.zoneState.failures.clear();
        r.model.observe(r.cost, latency);
        // A late answer of a server that has left would be credited to the few, if any, that are warm now.
        if (!server.isCold && server.isReady) {
            while (!cold.isEmpty() && !isCold(cold.first())) {
                cold.pollFirst();
            }
            servedRate.add(now, 1.0 / Math.max(1, ready.size() - cold.size()));
        }
    }

    private void recordFailure(Server server, Outcome outcome) {
        if (outcome == Outcome.FULL) {
            server.full.add(now);
            return;
        }
        if (outcome == Outcome.ERROR) {
            double errors = server.currentErrorShare(now);
            server.errorShare = errors + ERROR_RATE_WEIGHT * (1 - errors);
        }
        server.failures.add(now);
        if (outcome == Outcome.CONNECT_FAILED || outcome == Outcome.TIMED_OUT) {
            // A zone that is cut off fails server by server; the zone's count avoids the rest of it sooner.
            server.zoneState.failures.add(now);
        }
    }

    /**
     * A server's mean for the draw: that of its window, which approaches t_b as it ages. The window of a
     * stalled server does not change, so with a call in flight the time since its last answer is a lower
     * bound.
     */
    private double currentMean(Server server, double best) {
        double mean = best;
        if (server.count > 0) {
            mean = best + (server.mean() - best) * Math.exp((server.sampledAt - now) / DECAY_TIME);
        }
        Attempt oldest = server.inFlight.peekFirst();
        if (oldest != null) {
            double silence = (now - Math.max(oldest.sentAt, server.lastHeardAt))
                / oldest.request.model.expected(oldest.request.cost);
            mean = Math.max(mean, silence) * (1 + server.inFlight.size());
        }
        return server.zone.equals(settings.zone()) ? mean
            : mean * (1 + CROSS_ZONE_SLOWDOWN * settings.crossZonePrice());
    }

    // ---- the draw ----

    /** Draws a server for the request, or returns null where none may receive it now. */
    private Server draw(Request r) {
        isolationFactor = cold.isEmpty() ? 1 : isolationFactor();
        int size = ready.size();
        int first = size == 0 ? 0 : (int) ((long) settings.self() * size / settings.siblings());
        int wanted = Math.max(SUBSET_SIZE, MIN_NODES_PER_SERVER * size / settings.siblings());
        boolean sampled = Math.min(wanted, size) > SAMPLE_SIZE;
        int slice = sampled ? Math.min(wanted, size) : size;
        int count = collectCandidates(first, slice, sampled, sampled ? SAMPLE_SIZE : wanted, MAX_EXAMINED);
        double best = Double.MAX_VALUE;
        for (int i = 0; i < count; i++) {
            best = candidates[i].count > 0 ? Math.min(best, candidates[i].mean()) : best;
        }
        best = best == Double.MAX_VALUE ? 1 : best;
        // With too few healthy ones the draw may extend to all servers, so the subset counts as the list.
        lastSubsetSize = count == Math.min(slice, MAX_EXAMINED) ? size : sampled ? slice : count;
        double sum = computeWeights(r, best, count, true);
        if (sum <= 0) {
            // Only servers of one zone or cell know the request's key, so any listed server may be needed.
            boolean boundToGroup = r.possibleRun != null && r.model.requestClass.effect() == Effect.KEYED
                && r.model.requestClass.group() != KeyGroup.ALL;
            int maxExamined = boundToGroup ? size : MAX_EXAMINED;
            count = collectCandidates(first, size, size > maxExamined, size, maxExamined);
            sum = computeWeights(r, best, count, false);
        }
        // Where all eligible servers are avoided and cold ones only lack credit, most requests wait.
        boolean mayWait = bestHealth <= AVOIDED_BELOW && creditlessWeight > 0;
        if (sum <= 0 || mayWait && random.nextDouble() * (sum + creditlessWeight) >= sum) {
            return null;
        }
        Server one = pick(sum, count);
        Server other = pick(sum, count);
        return other.weighedMean < one.weighedMean ? other : one;
    }

    /**
     * Collects candidates among {@code slice} servers from index {@code first} on, each at most once, until
     * {@code wanted} healthy ones are found or {@code limit} are examined; returns their number. With
     * {@code scattered} it starts at random and goes in steps that visit all, so that each is equally likely;
     * otherwise it takes them in order.
     */
    private int collectCandidates(int first, int slice, boolean scattered, int wanted, int limit) {
        int offset = scattered ? random.nextInt(slice) : 0;
        int step = scattered ? coprimeStep(slice) : 1;
        int end = Math.min(slice, limit);
        int count = 0;
        for (int healthy = 0; count < end && healthy < wanted; count++) {
            if (count == candidates.length) {
                candidates = Arrays.copyOf(candidates, 2 * count);
                weights = new double[2 * count];
            }
            int position = first + offset;
            Server server = ready.get(position < ready.size() ? position : position - ready.size());
            candidates[count] = server;
            server.health = server.healthFactor(now);
            healthy += server.health >= 0.5 && !server.isCold ? 1 : 0;
            offset = offset + step < slice ? offset + step : offset + step - slice;
        }
        return count;
    }

    /** A step near the golden section of the length and coprime to it, so that it visits every index. */
    private static int coprimeStep(int length) {
        for (int step = Math.max(1, (int) (length * 0.618)); ; step--) {
            int a = length;
            int b = step;
            while (b != 0) {
                int rest = a % b;
                a = b;
                b = rest;
            }
            if (a == 1) {
                return step;
            }
        }
    }

    /** Sets each candidate's weight for this request and returns the sum. */
    private double computeWeights(Request r, double best, int count, boolean skipTried) {
        double sum = 0;
        bestHealth = 0;
        creditlessWeight = 0;
        for (int i = 0; i < count; i++) {
            Server server = candidates[i];
            weights[i] = 0;
            if (!inKeyGroup(r, server) || skipTried && r.tried(server)) {
                continue;
            }
            boolean earned = mayReceive(server);
            server.weighedMean = currentMean(server, best);
            double weight = best / server.weighedMean * rampFactor(server) * server.health;
            if (earned) {
                weights[i] = weight;
                sum += weight;
                bestHealth = Math.max(bestHealth, server.health);
            } else {
                creditlessWeight += weight;
            }
        }
        return sum;
    }

    private Server pick(double sum, int count) {
        double at = random.nextDouble() * sum;
        Server last = null;
        for (int i = 0; i < count; i++) {
            if (weights[i] > 0) {
                last = candidates[i];
                at -= weights[i];
                if (at < 0) {
                    return last;
                }
            }
        }
        return last;
    }

    /** A cold server may receive a call only with enough credit. */
    private boolean mayReceive(Server server) {
        if (server.isCold && isCold(server)) {
            accrueCredit(server);
            return server.credit >= 1;
        }
        return true;
    }

    /** Whether the server would recognise the key of this request if an attempt has run. */
    private boolean inKeyGroup(Request r, Server server) {
        Attempt possibleRun = r.possibleRun;
        return possibleRun == null || r.model.requestClass.effect() != Effect.KEYED
            || switch (r.model.requestClass.group()) {
                case ALL -> true;
                case ZONE -> server.zone.equals(possibleRun.server.zone);
                case CELL -> server.cell == possibleRun.server.cell
                    && server.zone.equals(possibleRun.server.zone);
            };
    }

    // ---- cold-start limit ----

    private boolean isCold(Server server) {
        boolean coldNow = server.startedAt > 0 && now - server.startedAt < settings.rules().coldSpan();
        server.isCold = coldNow;
        return coldNow;
    }

    /** The least share of its capacity that a server has, by the time since it started. */
    private double rampFactor(Server server) {
        if (!server.isCold) {
            return 1;
        }
        double age = Math.max(0, (double) (now - server.startedAt) / settings.rules().coldSpan());
        double start = settings.rules().startCapacity();
        return Math.min(1, start + (1 - start) * age);
    }

    /**
     * Accrues a cold server's credit: over time it earns its part of what a warm one of its size serves,
     * scaled to its present capacity. Credit by time rather than by calls: calls that find no server would
     * earn nothing, and ever fewer would be sent.
     */
    private void accrueCredit(Server server) {
        double perSecond = servedRate.perSecond() > 0
            ? COLD_FRACTION_OF_SERVED * settings.rules().fallMultiple() * servedRate.perSecond()
            : COLD_FRACTION_OF_ARRIVALS * arrivalRate.perSecond();
        double seconds = server.creditUpdatedAt == 0 ? 0 : (now - server.creditUpdatedAt) / 1e9;
        // Only nodes with the server in their subset send to it, so each of them has more than an even part.
        double subsetFactor = Math.max(1, (double) ready.size() / Math.max(1, lastSubsetSize))
            * isolationFactor;
        double capacityFactor = rampFactor(server) * server.size * ready.size() / totalSize;
        double earned = perSecond * subsetFactor * seconds * capacityFactor;
        server.creditUpdatedAt = now;
        server.credit = Math.min(MAX_CREDIT, server.credit + earned);
    }

    /**
     * Factor on the credit of cold servers while this zone is isolated. Where no other zone can be reached,
     * their nodes cannot reach this one either, so its nodes grant its cold servers the others' part too.
     * Guards against idle servers in a zone that comes back cold and is cut off; grants too much where the
     * other zones' servers are gone but their nodes are not.
     */
    private double isolationFactor() {
        ZoneState own = zones.get(settings.zone());
        boolean reachable = own != null && own.ready > 0 && own.failures.factor(now) > AVOIDED_BELOW;
        if (!reachable || own.ready == ready.size()) {
            return 1;
        }
        for (ZoneState zone : zones.values()) {
            if (zone != own && zone.ready > 0 && zone.failures.factor(now) > AVOIDED_BELOW) {
                return 1;
            }
        }
        return Math.max(1, ISOLATED_ZONE_FRACTION * ready.size() / own.ready);
    }

    // ---- dispatch and further attempts ----

    private void onArrival(Arrival arrival) {
        if (requests.containsKey(arrival.request())) {
            return;
        }
        LatencyModel model = classes.getOrDefault(arrival.requestClass(), unknownClass);
        Request r = new Request(arrival, model, worth(arrival, model), sequence++);
        requests.put(r.id, r);
        usualRank = usualRank == 0 ? r.rank : usualRank + LatencyModel.EWMA_WEIGHT * (r.rank - usualRank);
        retriesSaved = Math.min(MAX_RETRIES_SAVED, retriesSaved + RETRY_RATIO);
        if (servedRate.perSecond() == 0) {
            arrivalRate.add(now, 1.0 / Math.max(1, ready.size()));
        }
        admit(r);
    }

    /** Sends the request to a server, holds it while waiting may help, or ends it. */
    private void dispatch(Request r) {
        if (now >= answerCutoff(r)) {
            finish(r);
            return;
        }
        if (ready.isEmpty()) {
            r.wakeAt = answerCutoff(r);
            schedule(r.wakeAt, r);
            withoutServer.add(r);
            return;
        }
        Server server = draw(r);
        if (server == null) {
            r.wakeAt = Math.min(answerCutoff(r), now + REDRAW_INTERVAL);
            schedule(r.wakeAt, r);
            return;
        }
        Attempt attempt = new Attempt(r, server, r.attempts.size(), now);
        r.attempts.add(attempt);
        r.inFlight++;
        if (r.possibleRun == null) {
            r.possibleRun = attempt;
        }
        server.inFlight.addLast(attempt);
        if (server.isCold) {
            server.credit -= 1;
        }
        long attemptTimeout = r.model.attemptTimeout(r.cost);
        boolean sendsCopies = settings.limits().secondCopies();
        boolean repeatable = r.model.requestClass.effect() != Effect.UNSAFE
            && r.attempts.size() < settings.limits().maxAttempts() && now + attemptTimeout < r.deadline;
        actions.add(new Send(r.id, server.id, repeatable && !sendsCopies ? attemptTimeout : 0));
        if (repeatable && sendsCopies) {
            r.wakeAt = now + attemptTimeout;
            schedule(r.wakeAt, r);
        }
    }

    /** Spread over a redraw interval, so that they do not all meet the first server that is listed. */
    private void wakeRequestsWithoutServer() {
        for (Request r : withoutServer) {
            r.wakeAt = Math.min(answerCutoff(r), now + (long) (random.nextDouble() * REDRAW_INTERVAL));
            schedule(r.wakeAt, r);
        }
        withoutServer.clear();
    }

    private void onAttemptEnded(AttemptEnded ended) {
        Request r = requests.get(ended.request());
        if (r == null || ended.attempt() < 0 || ended.attempt() >= r.attempts.size()) {
            return;
        }
        Attempt attempt = r.attempts.get(ended.attempt());
        if (attempt.ended) {
            return;
        }
        attempt.ended = true;
        r.inFlight--;
        attempt.server.inFlight.remove(attempt);
        observe(r, attempt, ended);
        if (!attempt.streaming) {
            adjustLimit(r, ended.outcome(), ended.attempt(), ended.latency());
        }
        if (ended.outcome().neverRan && r.possibleRun == attempt) {
            r.possibleRun = r.nextPossibleRun(attempt);
        } else if (ended.outcome().neverRan) {
            attempt.neverRan = true;
        }
        if (ended.finished() || r.done) {
            close(r);
        } else if (r.inFlight == 0 || now >= answerCutoff(r)) {
            retryOrFinish(r, ended.outcome());
        }
    }

    private void observe(Request r, Attempt attempt, AttemptEnded ended) {
        switch (ended.outcome()) {
            case OK -> {
                attempt.server.lastHeardAt = now;
                if (!attempt.streaming) {
                    recordSuccess(r, attempt, ended.latency());
                }
            }
            case ERROR, FULL -> {
                attempt.server.lastHeardAt = now;
                recordFailure(attempt.server, ended.outcome());
            }
            case TIMED_OUT, CONNECT_FAILED, RESET -> recordFailure(attempt.server, ended.outcome());
            case CANCELLED -> {
                // A second copy was sent because this attempt was overdue, which counts as a time-out.
                if (attempt.overdue) {
                    recordFailure(attempt.server, ended.outcome());
                }
            }
            case REJECTED -> attempt.server.lastHeardAt = now;
            case NOT_SENT -> { }
        }
    }

    private void retryOrFinish(Request r, Outcome outcome) {
        boolean allowed = outcome != Outcome.REJECTED && r.inFlight == 0 && mayAttempt(r);
        if (allowed && (outcome.neverRan || spendRetry())) {
            if (r.attempts.size() < 2) {
                dispatch(r);
            } else {
                // Two failed attempts suggest a full tier: spread the further ones over the time left.
                double wait = r.model.expected(r.cost) / 4 * (1 << Math.min(r.attempts.size() - 2, 4));
                r.wakeAt = Math.min(answerCutoff(r), now + (long) (wait * (0.5 + random.nextDouble())));
                schedule(r.wakeAt, r);
            }
        } else {
            finish(r);
        }
    }

    /** Whether a further attempt has a body to send, and keeps rule 2 and the site's limits. */
    private boolean mayAttempt(Request r) {
        if (r.done || r.bodyConsumed || r.attempts.size() >= settings.limits().maxAttempts()
                || now >= answerCutoff(r) || r.inFlight > 0 && !settings.limits().secondCopies()) {
            return false;
        }
        return switch (r.model.requestClass.effect()) {
            case SAFE -> true;
            case UNSAFE -> r.possibleRun == null;
            case KEYED -> r.possibleRun == null
                || now + settings.tick() < r.possibleRun.sentAt + r.model.requestClass.keyRetention();
        };
    }

    private boolean mayRefuse(Request r) {
        RequestClass requestClass = r.model.requestClass;
        return r.possibleRun == null || requestClass.effect() == Effect.SAFE
            || requestClass.effect() == Effect.KEYED && requestClass.group() == KeyGroup.ALL;
    }

    private boolean spendRetry() {
        if (retriesSaved < 1) {
            return false;
        }
        retriesSaved--;
        return true;
    }

    private void onBodyConsumed(BodyConsumed body) {
        Request r = requests.get(body.request());
        if (r != null) {
            r.bodyConsumed = true;
            // No second copy can follow, so the attempt is not overdue before the deadline.
            r.wakeAt = 0;
        }
    }

    private void onFirstByte(FirstByte first) {
        Request r = requests.get(first.request());
        if (r == null || first.attempt() < 0 || first.attempt() >= r.attempts.size()) {
            return;
        }
        Attempt attempt = r.attempts.get(first.attempt());
        if (!attempt.ended && !attempt.streaming) {
            attempt.streaming = true;
            attempt.server.inFlight.remove(attempt);
            attempt.server.lastHeardAt = now;
            recordSuccess(r, attempt, first.latency());
            adjustLimit(r, Outcome.OK, first.attempt(), first.latency());
            close(r);
        }
    }

    // ---- admission ----

    /**
     * The first tier admits only as many requests at once as are answered within their aim; the rest wait in
     * the order of worth for their work. Deeper tiers admit all: a refusal there wastes the work above.
     */
    private void admit(Request r) {
        if (settings.tier() > 0 || hasRoom(r) && (waiting.isEmpty() || r.compareTo(waiting.peek()) < 0)) {
            r.admitted = true;
            admitted++;
            dispatch(r);
            return;
        }
        r.queued = true;
        waiting.add(r);
        long expected = (long) r.model.expected(r.cost);
        long aim = r.model.requestClass.aim() > 0 ? r.model.requestClass.aim() : Long.MAX_VALUE / 2;
        // Refuse early rather than at the deadline, so that the client has time to try another node.
        long giveUpAt = Math.min(Math.min(answerCutoff(r), now + aim) - 2 * expected, now + expected / 2);
        r.wakeAt = Math.max(now + settings.tick(), giveUpAt);
        schedule(r.wakeAt, r);
    }

    /** The last part of the limit is reserved for requests that are worth more than usual for their work. */
    private boolean hasRoom(Request r) {
        return admitted < (r.rank >= usualRank ? admitLimit : UNRESERVED_FRACTION * admitLimit);
    }

    private void admitWaiting() {
        while (!waiting.isEmpty() && hasRoom(waiting.peek())) {
            Request r = waiting.poll();
            r.queued = false;
            r.admitted = true;
            admitted++;
            dispatch(r);
        }
    }

    /** Raises the limit a little with each good outcome and lowers it by more with each late one. */
    private void adjustLimit(Request r, Outcome outcome, int attempt, long latency) {
        boolean late = switch (outcome) {
            case OK -> r.model.requestClass.aim() > 0
                && latency > LATE_AIM_FACTOR * r.model.requestClass.aim();
            case FULL -> attempt > 0;
            case TIMED_OUT -> true;
            default -> false;
        };
        double worth = Math.min(4, r.worth / usualWorth);
        if (late && admitted < MIN_USE_TO_DECREASE * admitLimit) {
            lateSeen = true;
        } else if (late) {
            lateSeen = true;
            admitLimit = Math.max(1, admitLimit - (1 - LATE_FRACTION) * worth);
        } else if (outcome == Outcome.OK && admitted >= UNRESERVED_FRACTION * admitLimit - 1) {
            // Until the first late outcome the limit is only an estimate, so it grows with what is served.
            admitLimit += lateSeen ? LATE_FRACTION * worth : 1;
        }
    }

    /** A request's worth; less beyond this node's part of its tenant's quota. */
    private double worth(Arrival arrival, LatencyModel model) {
        double work = settings.worthByWork() && arrival.cost() > 0 ? arrival.cost() : 1;
        double worth = model.requestClass.worth() * work;
        Quota quota = quotas.get(String.valueOf(arrival.tenant()));
        if (quota != null && !quota.tryAcquire(now)) {
            worth *= settings.overShareWorth();
        }
        usualWorth = usualWorth == 0 ? worth : usualWorth + LatencyModel.EWMA_WEIGHT * (worth - usualWorth);
        return worth;
    }

    // ---- deadlines ----

    private long answerCutoff(Request r) {
        return r.deadline - settings.tick();
    }

    /** Ends the request with the node's own final answer: a refusal where that is allowed, else a failure. */
    private void finish(Request r) {
        if (!r.done) {
            // The advised delay is about the time until a place comes free.
            Limits limits = settings.limits();
            long retryAfter = limits.retryAfter()
                ? Math.min(limits.maxRetryAfter(), (long) r.model.expected(r.cost) / 2) : 0;
            actions.add(mayRefuse(r) ? new Refuse(r.id, retryAfter) : new Fail(r.id));
            close(r);
        }
    }

    /** Sends nothing more for the request; it is forgotten once its attempts in flight have ended. */
    private void close(Request r) {
        if (!r.done) {
            r.done = true;
            withoutServer.remove(r);
            if (r.admitted) {
                admitted--;
            } else if (r.queued) {
                waiting.remove(r);
            }
            for (Attempt attempt : r.attempts) {
                if (!attempt.ended && !attempt.streaming && settings.limits().cancel()) {
                    actions.add(new Cancel(r.id, attempt.number));
                }
            }
        }
        if (r.inFlight == 0) {
            requests.remove(r.id);
        }
    }

    private void onTimer() {
        if (now >= timerAt) {
            timerAt = Long.MAX_VALUE;
        }
        while (!wakeups.isEmpty() && wakeups.peek().at <= now) {
            Wakeup next = wakeups.poll();
            if (next.request == null) {
                subscribe();
            } else if (!next.request.done && next.request.wakeAt == next.at) {
                wake(next.request);
            }
        }
    }

    private void wake(Request r) {
        if (r.queued) {
            finish(r);
        } else if (r.inFlight == 0 && (r.attempts.isEmpty() || mayAttempt(r))) {
            dispatch(r);
        } else if (r.inFlight == 0) {
            // The servers may have forgotten the request's key while it waited.
            finish(r);
        } else {
            r.attempts.get(r.attempts.size() - 1).overdue = true;
            if (mayAttempt(r) && spendRetry()) {
                dispatch(r);
            }
        }
    }

    private void schedule(long at, Request r) {
        wakeups.add(new Wakeup(at, sequence++, r));
    }

    private void armTimer() {
        if (!wakeups.isEmpty() && wakeups.peek().at < timerAt) {
            timerAt = wakeups.peek().at;
            actions.add(new SetTimer(Math.max(0, timerAt - now), "due"));
        }
    }

    private record Wakeup(long at, long number, Request request) implements Comparable<Wakeup> {
        @Override
        public int compareTo(Wakeup other) {
            return at != other.at ? Long.compare(at, other.at) : Long.compare(number, other.number);
        }
    }

    /** State shared by the servers of a zone. */
    private static final class ZoneState {
        final FailureCounter failures = new FailureCounter();
        /** See {@link ZoneShares}. */
        double share = 1;
        int ready;
    }

    private static final class Server {
        final String id;
        final int ringPosition;
        final String zone;
        final long cell;
        final long startedAt;
        final ArrayDeque<Attempt> inFlight = new ArrayDeque<>();
        final double[] window = new double[WINDOW];
        ServerState state;
        double size;
        /** The part of {@link #totalSize} that is this server's. */
        double sizeInTotal;
        /** Calls that it may receive while it is cold, and when that was last updated. */
        double credit;
        long creditUpdatedAt;
        final FailureCounter failures = new FailureCounter();
        final FailureCounter full = new FailureCounter(FULL_DECAY_TIME, MAX_FULL_COUNT);
        final ZoneState zoneState;
        /**
         * Decaying share of calls answered with an error. Guards against a server that fails half of its
         * calls, whose served calls keep clearing {@link #failures}.
         */
        double errorShare;
        double weighedMean;
        /** {@link #healthFactor} at the last draw that examined the server. */
        double health;
        double sum;
        /** Mean of the window; 0 before the first round trip. */
        double mean;
        int count;
        int next;
        boolean isReady;
        boolean isCold;
        /** Gets no requests until discovery has answered: see {@link #restoreServer}. */
        boolean doubted;
        long sampledAt;
        long lastHeardAt;
        /** When it left the list, if it has. */
        long departedAt;

        Server(ServerEntry entry, ZoneState zoneState) {
            this.zoneState = zoneState;
            id = entry.server();
            ringPosition = id.hashCode() * 0x9E3779B1 >>> 1;
            zone = String.valueOf(entry.zone());
            cell = entry.cell();
            startedAt = entry.startedAt();
        }

        void add(double roundTrip, long now) {
            sum += roundTrip - (count == WINDOW ? window[next] : 0);
            window[next] = roundTrip;
            next = (next + 1) % WINDOW;
            count = Math.min(WINDOW, count + 1);
            mean = Math.max(1e-6, sum / count);
            sampledAt = now;
        }

        double currentErrorShare(long now) {
            return errorShare == 0 ? 0 : errorShare * Math.exp((failures.updatedAt - now) / DECAY_TIME);
        }

        double healthFactor(long now) {
            double successFactor = errorShare == 0 ? 1 : Math.pow(1 - currentErrorShare(now), 3);
            return zoneState.share * failures.factor(now) * full.factor(now) * zoneState.failures.factor(now)
                * Math.max(FailureCounter.MIN_FACTOR, successFactor);
        }

        /** Whether its failures make it avoided; being full for a moment does not. */
        boolean isUnhealthy(long now) {
            return failures.factor(now) * Math.pow(1 - currentErrorShare(now), 3) <= AVOIDED_BELOW;
        }

        double mean() {
            return mean;
        }
    }

    private static final class Attempt {
        final Request request;
        final Server server;
        final int number;
        final long sentAt;
        boolean ended;
        boolean neverRan;
        boolean overdue;
        boolean streaming;

        Attempt(Request request, Server server, int number, long sentAt) {
            this.request = request;
            this.server = server;
            this.number = number;
            this.sentAt = sentAt;
        }
    }

    private static final class Request implements Comparable<Request> {
        final String id;
        final double worth;
        final double rank;
        final long number;
        final LatencyModel model;
        final long deadline;
        final double cost;
        final List<Attempt> attempts = new ArrayList<>(2);
        /** The first attempt that ran or may have run; null while it is certain that none did. */
        Attempt possibleRun;
        int inFlight;
        boolean done;
        boolean queued;
        boolean admitted;
        /** No further attempt can send its body, see {@link BodyConsumed}. */
        boolean bodyConsumed;
        long wakeAt;

        Request(Arrival arrival, LatencyModel model, double worth, long number) {
            this.worth = worth;
            this.rank = worth / model.expected(arrival.cost());
            this.number = number;
            this.id = arrival.request();
            this.model = model;
            this.deadline = arrival.deadline();
            this.cost = arrival.cost();
        }

        @Override
        public int compareTo(Request other) {
            return rank != other.rank ? Double.compare(other.rank, rank) : Long.compare(number, other.number);
        }

        boolean tried(Server server) {
            for (Attempt attempt : attempts) {
                if (attempt.server == server) {
                    return true;
                }
            }
            return false;
        }

        Attempt nextPossibleRun(Attempt cleared) {
            cleared.neverRan = true;
            for (Attempt attempt : attempts) {
                if (!attempt.neverRan) {
                    return attempt;
                }
            }
            return null;
        }
    }
}
