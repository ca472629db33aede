package onyxpaddle;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
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
 * All decisions of a balancer node. Its settings, events and actions are in BalancerApi.java.
 *
 * <p>Mechanism: the averaged Ratio approach (Kueting et al., section 3.2). A server's mean t is that of this
 * node's own last completed round trips; with t_b the lowest, f = t_b / t and p = f / sum(f); two servers are
 * drawn by p with replacement and the lower mean is sent to.
 *
 * <p>Rules, and where each is kept: one final answer in time (deadlines, {@link #finish}); no effect twice
 * ({@link #mayAttempt}, {@link #mayRefuse}); drains ({@link #draw}: only READY servers); cold servers
 * ({@link #earnCredit}). Single-threaded; time is what the caller hands over; only the seed is random.
 */
public final class RatioBalancer {
    /** Round trips a server's mean is taken over (the paper's averaged variant). */
    private static final int WINDOW = 20;
    /** Time in which an old mean loses most of its distance to t_b, and a share of errors its height. */
    private static final double FADE = 10e9;
    /**
     * A server that turns calls away as full has room again as soon as a few have left. Guards against many
     * calls that meet a full server at once, which kept it out for seconds, idle; should cover any
     * refusal that passes by itself. Where a server stays full it costs a call now and then.
     */
    private static final double FULL_FADE = 1e9;
    private static final double MOST_FULL = 3;
    private static final double ERROR_STEP = 0.1;
    /** A server that is left this share of its draws or less is one that the node avoids. */
    private static final double AVOIDED = 0.25;
    /** Further attempts of possibly-run requests, as a share of arrivals: tiers multiply them. */
    private static final double RETRY_SHARE = 0.1;
    private static final double MOST_RETRIES_SAVED = 10;
    /**
     * How much of what a warm server carries, scaled by its present capacity, a cold one is sent at most: as
     * part of the rule's multiple. Summed over all nodes it stays under that also where warm ones did all
     * they can.
     */
    private static final double COLD_PART = 2.0 / 3;
    /** The same by arrivals, while no warm server has served this node a call. */
    private static final double COLD_PART_UNKNOWN = 0.7;
    /** The part of the others that nodes of a zone cut off stand for: theirs may be the larger load. */
    private static final double ALONE_PART = 0.75;
    private static final double MOST_CREDIT = 2;
    /** Share of late outcomes at which the number of requests let in at once stays as it is. */
    private static final double LATE_SHARE = 0.12;
    /** Share of the aim after which a round trip counts as late for admission. */
    private static final double LATE_AFTER = 1.0;
    /** Part of the limit open to what is worth less than usual for its work. */
    private static final double OPEN_TO_ALL = 0.7;
    /**
     * Use of the limit up to which a late outcome says nothing of it. Guards against a limit that sinks to
     * what a calm hour needs, so that a node which takes another one's clients refuses for seconds what its
     * servers can do; should cover any step in the load. Where servers slow down it holds on a little longer.
     */
    private static final double SPARE = 0.5;
    private static final double FIRST_LIMIT = 8;
    /** Sound servers a node draws from, met often enough to keep windows and connections fresh. */
    private static final int SPAN = 12;
    /** Nodes that draw from each server at the least, so that every server is somebody's. */
    private static final int SHARERS = 4;
    /**
     * From more than these a node draws from a sample, as the design allows: so many sound ones, of no more
     * than so many looked at. Guards against a decision that costs more the more servers are listed (6,000:
     * 0.6 ms); where nearly all of many are unsound, a draw may miss the sound ones, and the next finds them.
     */
    private static final int SAMPLE = 24;
    private static final int MOST_LOOKED_AT = 96;
    /** The order that all nodes share. */
    private static final Comparator<Server> IN_PLACE = Comparator.<Server>comparingInt(s -> s.place)
        .thenComparing(s -> s.id);
    /** How much slower a server of another zone reads, for each unit of the price of crossing. */
    private static final double CROSSING = 50;
    private static final long HOLD_STEP = 20_000_000L;
    /** A change counts as told 6 s after discovery had it: half of that is left for the call. */
    private static final double LONGEST_ASK_PAUSE = 2.5e9;
    private static final int MOST_TAKEN_OUT = 10_000;

    private final Settings settings;
    private final SplittableRandom random;
    private final Map<String, Server> servers = new LinkedHashMap<>();
    /** Taken out by operators: kept until they are put back, whatever lists say. */
    private final Set<String> takenOut = new LinkedHashSet<>();
    private final Map<String, Zone> zones = new HashMap<>();
    /** What another process knew of servers that are not listed yet; empty from the first whole list on. */
    private final Map<String, ServerSnapshot> remembered = new HashMap<>();
    /** The process before this one is known to have had no other servers than those remembered. */
    private boolean rememberedAll;
    /** Discovery has told a list, or what has changed since the one that the process was started with. */
    private boolean heard;
    /** The servers that may be sent to, in an order that all nodes share; and from this node's place on. */
    private final List<Server> ready = new ArrayList<>();
    private Server[] around = new Server[16];
    /** Those of them that are cold, the one that will be warm first in front. */
    private final TreeSet<Server> cold = new TreeSet<>(
        Comparator.<Server>comparingLong(s -> s.startedAt).thenComparing(s -> s.id));
    private final CallRate carried = new CallRate();
    private final CallRate arrived = new CallRate();
    private double sizes;
    /** For how many nodes each one of this zone stands with the servers of the zone: see {@link #alone}. */
    private double aloneFactor = 1;
    /** How many servers the last draw was from, also where it took a sample of them. */
    private int lastSpan = 1;
    private final Map<String, LatencyModel> classes = new HashMap<>();
    private final LatencyModel unknownClass;
    private final Map<String, Request> requests = new HashMap<>();
    private final PriorityQueue<Due> due = new PriorityQueue<>();
    private final PriorityQueue<Request> waiting = new PriorityQueue<>();
    private final Map<String, Quota> quotas = new HashMap<>();
    private boolean metLate;
    private double usualRank;
    private double usualWorth;
    private double admitted;
    private double admitLimit = FIRST_LIMIT;
    private double[] chance = new double[16];
    /** Of the last weighing: the most that failures leave a server, the weight of those short of credit. */
    private double soundest;
    private double unearned;
    private double retriesSaved = MOST_RETRIES_SAVED / 2;
    private long armedFor = Long.MAX_VALUE;
    private long dueCount;
    private boolean started;
    private boolean asked;
    private boolean subscribed;
    private int refusedAsks;
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
        // A class the settings do not name is treated as the most careful kind.
        unknownClass = new LatencyModel(
            new RequestClass("", Effect.UNSAFE, KeyGroup.ALL, 0, 0, 0, 0, 1, 0, false));
    }

    /** Takes one event at the caller's time and returns what to do, in order. */
    public List<Action> handle(long nowNanos, Event event) {
        now = nowNanos;
        actions = new ArrayList<>(4);
        if (!started) {
            started = true;
            planFirstSubscription();
        }
        if (event instanceof Arrival arrival) {
            onArrival(arrival);
        } else if (event instanceof AttemptEnded ended) {
            onEnded(ended);
        } else if (event instanceof Membership news) {
            onMembership(news);
        } else if (event instanceof TakenOut hand) {
            takeOut(hand.server(), hand.out());
        } else if (event instanceof ZoneShares shares) {
            zones.values().forEach(z -> z.share = 1);
            shares.byZone().forEach((name, share) ->
                zones.computeIfAbsent(name, zone -> new Zone()).share = share);
        } else if (event instanceof Timer) {
            onTimer();
        } else if (event instanceof FirstByte first) {
            onFirstByte(first);
        } else if (event instanceof ClientGone gone) {
            Request r = requests.get(gone.request());
            if (r != null) {
                close(r);
            }
        }
        admitWaiting();
        armTimer();
        return actions;
    }

    // ---- membership ----

    private void onMembership(Membership news) {
        if (news.kind() == ListKind.REFUSED) {
            // The list held stays valid; ask again, later each time, so that discovery is not run over.
            asked = false;
            subscribed = false;
            refusedAsks = Math.min(refusedAsks + 1, 6);
            double wait = Math.min(1e9 * (1 << refusedAsks), 0.8 * settings.rules().askEvery());
            wait = Math.min(wait, LONGEST_ASK_PAUSE);
            plan(now + (long) (wait * (0.5 + random.nextDouble() / 2)), null);
            return;
        }
        if (news.kind() != ListKind.CACHED && asked) {
            subscribed = true;
            refusedAsks = 0;
        }
        if (news.kind() != ListKind.CHANGES) {
            Set<String> left = new LinkedHashSet<>(servers.keySet());
            news.entries().forEach(e -> left.remove(e.server()));
            left.forEach(id -> place(servers.remove(id)));
        }
        news.entries().forEach(this::applyEntry);
        if (news.kind() != ListKind.CACHED && !heard) {
            heard = true;
            for (Server server : servers.values()) {
                server.doubted = false;
                place(server);
            }
        }
        if (news.kind() == ListKind.ALL) {
            remembered.clear();
        }
        guessLimit();
    }

    /** Whether operators have taken the server out by hand. */
    public boolean isTakenOut(String server) {
        return takenOut.contains(server);
    }

    public boolean lists(String server) {
        return servers.containsKey(server);
    }

    private void takeOut(String server, boolean out) {
        if (!out) {
            takenOut.remove(server);
        } else if (takenOut.size() < MOST_TAKEN_OUT) {
            takenOut.add(server);
        }
        if (servers.containsKey(server)) {
            place(servers.get(server));
        }
        guessLimit();
    }

    /** Puts a server among those that may be sent to, or takes it out, after anything of it has changed. */
    private void place(Server server) {
        int at = Collections.binarySearch(ready, server, IN_PLACE);
        boolean may = servers.get(server.id) == server && server.state == ServerState.READY && !server.doubted
            && !takenOut.contains(server.id);
        if (at >= 0) {
            server.inZone.ready--;
            sizes = ready.size() == 1 ? 0 : sizes - server.countedSize;
            cold.remove(server);
        }
        if (may && at < 0) {
            ready.add(-at - 1, server);
        } else if (!may && at >= 0) {
            ready.remove(at);
        }
        server.isReady = may;
        if (may) {
            server.inZone.ready++;
            server.countedSize = server.size;
            sizes += server.size;
            if (isCold(server)) {
                cold.add(server);
            }
        }
    }

    private void guessLimit() {
        if (admitLimit == FIRST_LIMIT) {
            admitLimit = Math.max(FIRST_LIMIT, 6.0 * ready.size() / settings.siblings());
        }
    }

    private void applyEntry(ServerEntry entry) {
        if (entry.state() == ServerState.GONE) {
            Server gone = servers.remove(entry.server());
            if (gone != null) {
                place(gone);
            }
            return;
        }
        Server server = servers.get(entry.server());
        if (server == null || server.startedAt != entry.startedAt()) {
            Server before = server;
            server = new Server(entry, zones.computeIfAbsent(String.valueOf(entry.zone()), z -> new Zone()));
            // Spread over the nodes, or all of them would send their first call in the same moment.
            server.credit = random.nextDouble();
            servers.put(entry.server(), server);
            if (before != null) {
                place(before);
            }
            remind(server);
        }
        server.state = entry.state();
        server.size = entry.weight() > 0 ? entry.weight() : 1;
        place(server);
    }

    private void planFirstSubscription() {
        if (settings.mustAskMembership()) {
            double spread = Math.min(0.4 * settings.rules().askEvery(), 50e6 * settings.siblings());
            plan(now + (long) (random.nextDouble() * spread), null);
        }
    }

    private void subscribe() {
        if (!asked && !subscribed) {
            asked = true;
            actions.add(new Subscribe());
        }
    }

    // ---- replacement ----

    /** What the process that takes this one's place need not learn anew. */
    public BalancerSnapshot snapshot(long nowNanos) {
        List<ServerSnapshot> ofServers = new ArrayList<>();
        for (Server s : servers.values()) {
            List<Double> trips = new ArrayList<>();
            for (int i = 0; i < s.count; i++) {
                trips.add(s.window[(s.next - s.count + i + WINDOW) % WINDOW]);
            }
            boolean leaving = s.state == ServerState.DRAINING || s.doubted;
            ofServers.add(new ServerSnapshot(s.id, s.startedAt, leaving, trips, s.sampledAt, s.errorShare,
                s.failures.countNow(nowNanos), nowNanos, s.full.countNow(nowNanos), nowNanos,
                Math.max(0, s.credit)));
        }
        List<ClassSnapshot> ofClasses = new ArrayList<>();
        classes.values().forEach(use -> ofClasses.add(use.snapshot()));
        return new BalancerSnapshot(ofServers, true, ofClasses, List.copyOf(takenOut), admitLimit, metLate,
            retriesSaved, usualRank, usualWorth);
    }

    /**
     * Goes on from what another process of this node has learnt, before the first request. A server counts as
     * the same if its id and start are; one that is not listed yet is remembered until the next whole list.
     */
    public void restore(BalancerSnapshot snapshot) {
        snapshot.servers().forEach(s -> remembered.put(s.server(), s));
        rememberedAll = snapshot.whole() && !snapshot.servers().isEmpty();
        servers.values().forEach(this::remind);
        snapshot.takenOut().forEach(server -> takeOut(server, true));
        for (ClassSnapshot c : snapshot.classes()) {
            LatencyModel use = classes.get(c.name());
            if (use != null) {
                use.recall(c);
            }
        }
        admitLimit = snapshot.admitLimit();
        metLate = snapshot.metLate();
        retriesSaved = Math.min(MOST_RETRIES_SAVED, snapshot.retriesSaved());
        usualRank = snapshot.usualRank();
        usualWorth = snapshot.usualWorth();
        servers.values().forEach(this::place);
        guessLimit();
    }

    /**
     * A list from before the start may be older than what the process before this one knew: a server that had
     * left that one's list, drains, or has started again since, gets nothing before discovery has spoken.
     */
    private void remind(Server server) {
        ServerSnapshot snapshot = remembered.remove(server.id);
        if (!heard) {
            server.doubted = snapshot == null ? rememberedAll
                : snapshot.leaving() && snapshot.startedAt() >= server.startedAt
                    || snapshot.startedAt() > server.startedAt;
        }
        if (snapshot != null && snapshot.startedAt() == server.startedAt) {
            snapshot.trips().forEach(trip -> server.add(trip, snapshot.sampledAt()));
            server.errorShare = snapshot.errorShare();
            server.failures.recall(snapshot.failures(), snapshot.failedAt());
            server.full.recall(snapshot.full(), snapshot.fullAt());
            server.credit = snapshot.credit();
        }
    }

    // ---- the fleet ----

    /** The servers listed, and those that get a quarter of their share at most, for on-call staff. */
    public FleetSummary fleet(long nowNanos) {
        int avoided = 0;
        for (Server server : servers.values()) {
            boolean out = server.state != ServerState.READY || server.doubted || takenOut.contains(server.id);
            avoided += out || server.distrusted(nowNanos) ? 1 : 0;
        }
        return new FleetSummary(servers.size(), avoided);
    }

    /** How each listed server stands, for on-call staff. */
    public List<ServerStatus> serverStatuses(long nowNanos) {
        List<ServerStatus> all = new ArrayList<>(servers.size());
        for (Server s : servers.values()) {
            boolean coldNow = s.startedAt > 0 && nowNanos - s.startedAt < settings.rules().coldSpan();
            all.add(new ServerStatus(s.id, s.zone, s.state, takenOut.contains(s.id), s.doubted, coldNow,
                s.chanceLeft(nowNanos), s.count == 0 ? 0 : s.mean(), s.out.size()));
        }
        return all;
    }

    // ---- observation ----

    private void served(Request r, Attempt attempt, long latency) {
        Server server = attempt.server;
        server.add(latency / r.use.usual(r.cost), now);
        server.failures.clear();
        server.full.clear();
        server.errorShare -= ERROR_STEP * server.errorShare;
        server.inZone.failures.clear();
        r.use.learn(r.cost, latency);
        // Of a server that has left, a late answer would fall to the few that are warm now, or to none.
        if (!server.isColdListed && server.isReady) {
            while (!cold.isEmpty() && !isCold(cold.first())) {
                cold.pollFirst();
            }
            carried.add(now, 1.0 / Math.max(1, ready.size() - cold.size()));
        }
    }

    private void failed(Server server, Outcome outcome) {
        if (outcome == Outcome.FULL || outcome == Outcome.NOT_REPLAYABLE) {
            server.full.add(now);
            return;
        }
        if (outcome == Outcome.ERROR) {
            double errors = server.errorsNow(now);
            server.errorShare = errors + ERROR_STEP * (1 - errors);
        }
        server.failures.add(now);
        if (outcome == Outcome.CONNECT_FAILED || outcome == Outcome.TIMED_OUT) {
            // A zone cut off fails server by server; no answer from any of it soon speaks for all of it.
            server.inZone.failures.add(now);
        }
    }

    /**
     * A server's mean for the draw: that of its window, sliding to t_b as it ages. A silent or stalled server
     * keeps its old mean, so the time since it was last heard of, with a call out, is a lower bound.
     */
    private double meanNow(Server server, double best) {
        double mean = best;
        if (server.count > 0) {
            mean = best + (server.mean() - best) * Math.exp((server.sampledAt - now) / FADE);
        }
        Attempt oldest = server.out.peekFirst();
        if (oldest != null) {
            double silence = (now - Math.max(oldest.sentAt, server.heardAt))
                / oldest.request.use.usual(oldest.request.cost);
            mean = Math.max(mean, silence) * (1 + server.out.size());
        }
        return server.zone.equals(settings.zone()) ? mean : mean * (1 + CROSSING * settings.crossZonePrice());
    }

    // ---- the draw ----

    /** Draws a server for the request, or null where none may take it now. */
    private Server draw(Request r) {
        aloneFactor = cold.isEmpty() ? 1 : alone();
        int size = ready.size();
        int first = size == 0 ? 0 : (int) ((long) settings.self() * size / settings.siblings());
        int wanted = Math.max(SPAN, SHARERS * size / settings.siblings());
        boolean sampled = Math.min(wanted, size) > SAMPLE;
        int slice = sampled ? Math.min(wanted, size) : size;
        int span = walk(first, slice, sampled, sampled ? SAMPLE : wanted, MOST_LOOKED_AT);
        double best = Double.MAX_VALUE;
        for (int i = 0; i < span; i++) {
            best = around[i].count > 0 ? Math.min(best, around[i].mean()) : best;
        }
        best = best == Double.MAX_VALUE ? 1 : best;
        // With too few sound ones it may go on to any, and then stands for its own part of all nodes alone.
        lastSpan = span == Math.min(slice, MOST_LOOKED_AT) ? size : sampled ? slice : span;
        double sum = weigh(r, best, span, true);
        if (sum <= 0) {
            // A server's memory of a key binds the request to one zone or cell: any of these may be the one.
            boolean bound = r.anchor != null && r.use.about.effect() == Effect.KEYED
                && r.use.about.group() != KeyGroup.ALL;
            int most = bound ? size : MOST_LOOKED_AT;
            span = walk(first, size, size > most, size, most);
            sum = weigh(r, best, span, false);
        }
        // Where all that may be sent to are avoided, and cold ones only short of credit, most wait for these.
        boolean mayWait = soundest <= AVOIDED && unearned > 0;
        if (sum <= 0 || mayWait && random.nextDouble() * (sum + unearned) >= sum) {
            return null;
        }
        Server one = pick(sum, span);
        Server other = pick(sum, span);
        return other.drawMean < one.drawMean ? other : one;
    }

    /**
     * Goes through so many servers from {@code first} on, each once, until {@code wanted} sound ones are met
     * or {@code most} are looked at; returns how many were. {@code strewn}: from a random one of them in
     * steps that leave none out, so that each is met as often as any other; else one after another.
     */
    private int walk(int first, int slice, boolean strewn, int wanted, int most) {
        int at = strewn ? random.nextInt(slice) : 0;
        int step = strewn ? stepThrough(slice) : 1;
        int end = Math.min(slice, most);
        int span = 0;
        for (int sound = 0; span < end && sound < wanted; span++) {
            if (span == around.length) {
                around = Arrays.copyOf(around, 2 * span);
                chance = new double[2 * span];
            }
            int place = first + at;
            Server server = ready.get(place < ready.size() ? place : place - ready.size());
            around[span] = server;
            server.left = server.chanceLeft(now);
            sound += server.left >= 0.5 && !server.isColdListed ? 1 : 0;
            at = at + step < slice ? at + step : at + step - slice;
        }
        return span;
    }

    /** A step near the golden section of the length, without a common divisor: it comes by every place. */
    private static int stepThrough(int length) {
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

    /** Sets each ready server's weight for this request and returns their sum. */
    private double weigh(Request r, double best, int span, boolean avoidTried) {
        double sum = 0;
        soundest = 0;
        unearned = 0;
        for (int i = 0; i < span; i++) {
            Server server = around[i];
            chance[i] = 0;
            if (!inGroup(r, server) || avoidTried && r.tried(server)) {
                continue;
            }
            boolean earned = mayBeSent(server);
            server.drawMean = meanNow(server, best);
            double weight = best / server.drawMean * rampNow(server) * server.left;
            if (earned) {
                chance[i] = weight;
                sum += weight;
                soundest = Math.max(soundest, server.left);
            } else {
                unearned += weight;
            }
        }
        return sum;
    }

    private Server pick(double sum, int span) {
        double at = random.nextDouble() * sum;
        Server last = null;
        for (int i = 0; i < span; i++) {
            if (chance[i] > 0) {
                last = around[i];
                at -= chance[i];
                if (at < 0) {
                    return last;
                }
            }
        }
        return last;
    }

    /** A cold one only as far as it has earned it. */
    private boolean mayBeSent(Server server) {
        if (server.isColdListed && isCold(server)) {
            earnCredit(server);
            return server.credit >= 1;
        }
        return true;
    }

    /** Whether the server would know a repeat of what this request may have run. */
    private boolean inGroup(Request r, Server server) {
        Attempt anchor = r.anchor;
        return anchor == null || r.use.about.effect() != Effect.KEYED || switch (r.use.about.group()) {
            case ALL -> true;
            case ZONE -> server.zone.equals(anchor.server.zone);
            case CELL -> server.cell == anchor.server.cell && server.zone.equals(anchor.server.zone);
        };
    }

    // ---- cold-start limit ----

    private boolean isCold(Server server) {
        boolean coldNow = server.startedAt > 0 && now - server.startedAt < settings.rules().coldSpan();
        server.isColdListed = coldNow;
        return coldNow;
    }

    /** The share of its capacity that a server has at the least, by the time since it started. */
    private double rampNow(Server server) {
        if (!server.isColdListed) {
            return 1;
        }
        double age = Math.max(0, (double) (now - server.startedAt) / settings.rules().coldSpan());
        double start = settings.rules().startCapacity();
        return Math.min(1, start + (1 - start) * age);
    }

    /**
     * With time a cold server earns its part of what a warm one of its size carries, scaled to its present
     * capacity. By time and not by calls: calls that find no server earn nothing, and then fewer are sent.
     */
    private void earnCredit(Server server) {
        double perSecond = carried.perSecond() > 0
            ? COLD_PART * settings.rules().fallMultiple() * carried.perSecond()
            : COLD_PART_UNKNOWN * arrived.perSecond();
        double seconds = server.creditAt == 0 ? 0 : (now - server.creditAt) / 1e9;
        // Only the nodes that draw from it send it anything: each stands for more than its part of all nodes.
        double drawnFrom = Math.max(1, (double) ready.size() / Math.max(1, lastSpan)) * aloneFactor;
        double part = rampNow(server) * server.size * ready.size() / sizes;
        double earned = perSecond * drawnFrom * seconds * part;
        server.creditAt = now;
        server.credit = Math.min(MOST_CREDIT, server.credit + earned);
    }

    /**
     * Where no connection to any other zone comes up, none comes from there either: the nodes of this zone
     * are all that its cold servers have, and grant them the others' part. Guards against a zone that
     * comes back cold and is cut off, whose servers then stand idle; would grant too much where the other
     * zones' servers are gone and their nodes are not.
     */
    private double alone() {
        Zone own = zones.get(settings.zone());
        boolean answers = own != null && own.ready > 0 && own.failures.factor(now) > AVOIDED;
        if (!answers || own.ready == ready.size()) {
            return 1;
        }
        for (Zone zone : zones.values()) {
            if (zone != own && zone.ready > 0 && zone.failures.factor(now) > AVOIDED) {
                return 1;
            }
        }
        return Math.max(1, ALONE_PART * ready.size() / own.ready);
    }

    // ---- dispatch and further attempts ----

    private void onArrival(Arrival arrival) {
        if (requests.containsKey(arrival.request())) {
            return;
        }
        LatencyModel use = classes.getOrDefault(arrival.requestClass(), unknownClass);
        Request r = new Request(arrival, use, worth(arrival, use), dueCount++);
        requests.put(r.id, r);
        usualRank = usualRank == 0 ? r.rank : usualRank + LatencyModel.STEP * (r.rank - usualRank);
        retriesSaved = Math.min(MOST_RETRIES_SAVED, retriesSaved + RETRY_SHARE);
        if (carried.perSecond() == 0) {
            arrived.add(now, 1.0 / Math.max(1, ready.size()));
        }
        admit(r);
    }

    /** Sends the request somewhere, or holds it while waiting may help, or ends it. */
    private void dispatch(Request r) {
        if (now >= lastMoment(r)) {
            finish(r);
            return;
        }
        Server server = draw(r);
        if (server == null) {
            r.wakeAt = Math.min(lastMoment(r), now + HOLD_STEP);
            plan(r.wakeAt, r);
            return;
        }
        Attempt attempt = new Attempt(r, server, r.attempts.size(), now);
        r.attempts.add(attempt);
        r.out++;
        if (r.anchor == null) {
            r.anchor = attempt;
        }
        server.out.addLast(attempt);
        if (server.isColdListed) {
            server.credit -= 1;
        }
        long patience = r.use.patience(r.cost);
        boolean copies = settings.limits().secondCopies();
        boolean repeatable = r.use.about.effect() != Effect.UNSAFE
            && r.attempts.size() < settings.limits().maxAttempts() && now + patience < r.deadline;
        actions.add(new Send(r.id, server.id, repeatable && !copies ? patience : 0));
        if (repeatable && copies) {
            r.wakeAt = now + patience;
            plan(r.wakeAt, r);
        }
    }

    private void onEnded(AttemptEnded ended) {
        Request r = requests.get(ended.request());
        if (r == null || ended.attempt() < 0 || ended.attempt() >= r.attempts.size()) {
            return;
        }
        Attempt attempt = r.attempts.get(ended.attempt());
        if (attempt.ended) {
            return;
        }
        attempt.ended = true;
        r.out--;
        attempt.server.out.remove(attempt);
        observe(r, attempt, ended);
        if (!attempt.streaming) {
            adjustLimit(r, ended.outcome(), ended.attempt(), ended.latency());
        }
        if (ended.outcome().neverRan && r.anchor == attempt) {
            r.anchor = r.firstThatMayHaveRun(attempt);
        } else if (ended.outcome().neverRan) {
            attempt.neverRan = true;
        }
        if (ended.finished() || r.done) {
            close(r);
        } else if (r.out == 0 || now >= lastMoment(r)) {
            again(r, ended.outcome());
        }
    }

    private void observe(Request r, Attempt attempt, AttemptEnded ended) {
        switch (ended.outcome()) {
            case OK -> {
                attempt.server.heardAt = now;
                if (!attempt.streaming) {
                    served(r, attempt, ended.latency());
                }
            }
            case ERROR, FULL, NOT_REPLAYABLE -> {
                attempt.server.heardAt = now;
                failed(attempt.server, ended.outcome());
            }
            case TIMED_OUT, CONNECT_FAILED, RESET -> failed(attempt.server, ended.outcome());
            case CANCELLED -> {
                // A copy was sent because this one overstayed: a time-out in all but name.
                if (attempt.overstayed) {
                    failed(attempt.server, ended.outcome());
                }
            }
            case REJECTED -> attempt.server.heardAt = now;
            case NOT_SENT -> { }
        }
    }

    private void again(Request r, Outcome outcome) {
        boolean worthIt = outcome != Outcome.REJECTED && outcome != Outcome.NOT_REPLAYABLE && r.out == 0
            && mayAttempt(r);
        if (worthIt && (outcome.neverRan || spendRetry())) {
            if (r.attempts.size() < 2) {
                dispatch(r);
            } else {
                // Turned away twice is news of a full tier: spread the attempts over the time left.
                double wait = r.use.usual(r.cost) / 4 * (1 << Math.min(r.attempts.size() - 2, 4));
                r.wakeAt = Math.min(lastMoment(r), now + (long) (wait * (0.5 + random.nextDouble())));
                plan(r.wakeAt, r);
            }
        } else {
            finish(r);
        }
    }

    /** Rule 2 for a further attempt, with the limits of the site. */
    private boolean mayAttempt(Request r) {
        if (r.done || r.attempts.size() >= settings.limits().maxAttempts() || now >= lastMoment(r)
                || r.out > 0 && !settings.limits().secondCopies()) {
            return false;
        }
        return switch (r.use.about.effect()) {
            case SAFE -> true;
            case UNSAFE -> r.anchor == null;
            case KEYED -> r.anchor == null
                || now + settings.tick() < r.anchor.sentAt + r.use.about.keyRetention();
        };
    }

    private boolean mayRefuse(Request r) {
        RequestClass about = r.use.about;
        return r.anchor == null || about.effect() == Effect.SAFE
            || about.effect() == Effect.KEYED && about.group() == KeyGroup.ALL;
    }

    private boolean spendRetry() {
        if (retriesSaved < 1) {
            return false;
        }
        retriesSaved--;
        return true;
    }

    private void onFirstByte(FirstByte first) {
        Request r = requests.get(first.request());
        if (r == null || first.attempt() < 0 || first.attempt() >= r.attempts.size()) {
            return;
        }
        Attempt attempt = r.attempts.get(first.attempt());
        if (!attempt.ended && !attempt.streaming) {
            attempt.streaming = true;
            attempt.server.out.remove(attempt);
            attempt.server.heardAt = now;
            served(r, attempt, first.latency());
            adjustLimit(r, Outcome.OK, first.attempt(), first.latency());
            close(r);
        }
    }

    // ---- admission ----

    /**
     * The first tier lets in only as many requests at once as are answered within their aim; the rest wait,
     * those worth most for their work first. Deeper tiers let all in: refusing there wastes the work above.
     */
    private void admit(Request r) {
        if (settings.tier() > 0 || hasRoom(r) && (waiting.isEmpty() || r.compareTo(waiting.peek()) < 0)) {
            r.admitted = true;
            admitted++;
            dispatch(r);
            return;
        }
        r.waits = true;
        waiting.add(r);
        long usual = (long) r.use.usual(r.cost);
        long aim = r.use.about.aim() > 0 ? r.use.about.aim() : Long.MAX_VALUE / 2;
        // A refusal leaves the client time for another node, so it comes soon rather than at the last moment.
        long last = Math.min(Math.min(lastMoment(r), now + aim) - 2 * usual, now + usual / 2);
        r.wakeAt = Math.max(now + settings.tick(), last);
        plan(r.wakeAt, r);
    }

    /** The last part of the limit is kept for what is worth more than usual for its work. */
    private boolean hasRoom(Request r) {
        return admitted < (r.rank >= usualRank ? admitLimit : OPEN_TO_ALL * admitLimit);
    }

    private void admitWaiting() {
        while (!waiting.isEmpty() && hasRoom(waiting.peek())) {
            Request r = waiting.poll();
            r.waits = false;
            r.admitted = true;
            admitted++;
            dispatch(r);
        }
    }

    /** Moves the limit up by a little for each good outcome and down by much for each late one. */
    private void adjustLimit(Request r, Outcome outcome, int attempt, long latency) {
        boolean late = switch (outcome) {
            case OK -> r.use.about.aim() > 0 && latency > LATE_AFTER * r.use.about.aim();
            case FULL -> attempt > 0;
            case TIMED_OUT -> true;
            default -> false;
        };
        double worth = Math.min(4, r.worth / usualWorth);
        if (late && admitted < SPARE * admitLimit) {
            metLate = true;
        } else if (late) {
            metLate = true;
            admitLimit = Math.max(1, admitLimit - (1 - LATE_SHARE) * worth);
        } else if (outcome == Outcome.OK && admitted >= OPEN_TO_ALL * admitLimit - 1) {
            // Until anything is late the limit is only a guess: it follows what is served.
            admitLimit += metLate ? LATE_SHARE * worth : 1;
        }
    }

    /** What a request is worth; less beyond this node's part of its tenant's quota. */
    private double worth(Arrival arrival, LatencyModel use) {
        double work = settings.worthByWork() && arrival.cost() > 0 ? arrival.cost() : 1;
        double worth = use.about.worth() * work;
        Quota quota = quotas.get(String.valueOf(arrival.tenant()));
        if (quota != null && !quota.take(now)) {
            worth *= settings.overShareWorth();
        }
        usualWorth = usualWorth == 0 ? worth : usualWorth + LatencyModel.STEP * (worth - usualWorth);
        return worth;
    }

    // ---- deadlines ----

    private long lastMoment(Request r) {
        return r.deadline - settings.tick();
    }

    /** The one final answer that the node itself gives. */
    private void finish(Request r) {
        if (!r.done) {
            // One turned away is asked to stay away for as long as a place takes to come free.
            Limits limits = settings.limits();
            long away = limits.retryAfter()
                ? Math.min(limits.maxRetryAfter(), (long) r.use.usual(r.cost) / 2) : 0;
            actions.add(mayRefuse(r) ? new Refuse(r.id, away) : new Fail(r.id));
            close(r);
        }
    }

    /** Nothing more goes out for the request; attempts still out are only waited for. */
    private void close(Request r) {
        if (!r.done) {
            r.done = true;
            if (r.admitted) {
                admitted--;
            } else if (r.waits) {
                waiting.remove(r);
            }
            for (Attempt attempt : r.attempts) {
                if (!attempt.ended && !attempt.streaming && settings.limits().cancel()) {
                    actions.add(new Cancel(r.id, attempt.number));
                }
            }
        }
        if (r.out == 0) {
            requests.remove(r.id);
        }
    }

    private void onTimer() {
        if (now >= armedFor) {
            armedFor = Long.MAX_VALUE;
        }
        while (!due.isEmpty() && due.peek().at <= now) {
            Due next = due.poll();
            if (next.request == null) {
                subscribe();
            } else if (!next.request.done && next.request.wakeAt == next.at) {
                wake(next.request);
            }
        }
    }

    private void wake(Request r) {
        if (r.waits) {
            finish(r);
        } else if (r.out == 0 && (r.attempts.isEmpty() || mayAttempt(r))) {
            dispatch(r);
        } else if (r.out == 0) {
            // While it waited, the servers' memory of its key may have run out.
            finish(r);
        } else {
            r.attempts.get(r.attempts.size() - 1).overstayed = true;
            if (mayAttempt(r) && spendRetry()) {
                dispatch(r);
            }
        }
    }

    private void plan(long at, Request r) {
        due.add(new Due(at, dueCount++, r));
    }

    private void armTimer() {
        if (!due.isEmpty() && due.peek().at < armedFor) {
            armedFor = due.peek().at;
            actions.add(new SetTimer(Math.max(0, armedFor - now), "due"));
        }
    }

    private record Due(long at, long number, Request request) implements Comparable<Due> {
        @Override
        public int compareTo(Due other) {
            return at != other.at ? Long.compare(at, other.at) : Long.compare(number, other.number);
        }
    }

    /** What the servers of a zone have in common. */
    private static final class Zone {
        final FailureCounter failures = new FailureCounter();
        /** See {@link ZoneShares}. */
        double share = 1;
        int ready;
    }

    private static final class Server {
        final String id;
        final int place;
        final String zone;
        final long cell;
        final long startedAt;
        final ArrayDeque<Attempt> out = new ArrayDeque<>();
        final double[] window = new double[WINDOW];
        ServerState state;
        double size;
        /** The size that the sum of all ready ones has of it. */
        double countedSize;
        /** Calls that it may be sent while it is cold, and when that was last reckoned. */
        double credit;
        long creditAt;
        final FailureCounter failures = new FailureCounter();
        final FailureCounter full = new FailureCounter(FULL_FADE, MOST_FULL);
        final Zone inZone;
        /** Share of late calls answered with an error: one that errs half the time soon clears its count. */
        double errorShare;
        double drawMean;
        /** Of the last walk that met it: see {@link #chanceLeft}. */
        double left;
        double sum;
        /** Of its window; 0 before the first. */
        double mean;
        int count;
        int next;
        boolean isReady;
        boolean isColdListed;
        /** Gets nothing until discovery has spoken: see {@link #remind}. */
        boolean doubted;
        long sampledAt;
        long heardAt;

        Server(ServerEntry entry, Zone inZone) {
            this.inZone = inZone;
            id = entry.server();
            place = id.hashCode() * 0x9E3779B1 >>> 1;
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

        double errorsNow(long now) {
            return errorShare == 0 ? 0 : errorShare * Math.exp((failures.at - now) / FADE);
        }

        double chanceLeft(long now) {
            double served = errorShare == 0 ? 1 : Math.pow(1 - errorsNow(now), 3);
            return inZone.share * failures.factor(now) * full.factor(now) * inZone.failures.factor(now)
                * Math.max(FailureCounter.LEAST_CHANCE, served);
        }

        /** Avoided for its failures; one that is full for a moment is not. */
        boolean distrusted(long now) {
            return failures.factor(now) * Math.pow(1 - errorsNow(now), 3) <= AVOIDED;
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
        boolean overstayed;
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
        final LatencyModel use;
        final long deadline;
        final double cost;
        final List<Attempt> attempts = new ArrayList<>(2);
        /** The first attempt that ran or might have; null while it is certain that none did. */
        Attempt anchor;
        int out;
        boolean done;
        boolean waits;
        boolean admitted;
        long wakeAt;

        Request(Arrival arrival, LatencyModel use, double worth, long number) {
            this.worth = worth;
            this.rank = worth / use.usual(arrival.cost());
            this.number = number;
            this.id = arrival.request();
            this.use = use;
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

        Attempt firstThatMayHaveRun(Attempt cleared) {
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
