package onyxpaddle.site;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Consumer;
import onyxpaddle.BalancerApi.ListKind;
import onyxpaddle.BalancerApi.Outcome;
import onyxpaddle.BalancerApi.ServerEntry;
import onyxpaddle.BalancerApi.ServerState;
import onyxpaddle.node.SiteGate;
import onyxpaddle.site.FailoverPlan.Case;
import onyxpaddle.site.SiteState.OperatorOverride;
import onyxpaddle.site.SiteState.Phase;

/**
 * Refuses requests by a failover plan while sites are lost. The plan says how much work the survivors can take; this node's part of it is
 * that amount divided by the nodes that are left, as nodes do not communicate. This amount is compared with the work that arrived at this
 * node in the last second, and the excess is refused in the plan's order: the work with the lowest worth first, and no class below its
 * floor. So a loss at a time of low load refuses nothing, and a plan made for another load refuses only what the current load requires.
 * While no site is lost it admits everything: a returning site is protected by the limit on what its cold servers may be sent, and by the
 * balancer's own limit.
 *
 * <p>The division fails where the nodes of a lost site keep running and keep their clients: then the nodes of the survivors claim more than
 * their part and refuse too little. The excess is left to the balancer's own limit.
 */
public final class PlanGate implements SiteGate {
    /** Time constant of the arrival rates, in seconds. */
    private static final double RATE_TIME_CONSTANT_S = 1;
    /** How often the admitted shares are recomputed, in nanoseconds. */
    private static final long RECOMPUTE_INTERVAL = 20_000_000L;
    /** A call cancelled after at least this long had no answer in time; one cancelled sooner is no evidence. In nanoseconds. */
    private static final long SILENT_AFTER = 200_000_000L;
    /** The smallest retry delay, as a share of the longest: delays are spread between the two. */
    private static final double MIN_DELAY_SHARE = 0.25;

    private final Fleet fleet;
    private final FailoverPlan plan;
    private final SiteMonitor sites;
    private final long maxRetryDelay;
    private final SplittableRandom random;
    private final Consumer<String> log;
    private final Map<String, ClassLoad> loads = new TreeMap<>();
    /** The classes by worth per second of work, highest first. */
    private final List<String> admissionOrder;
    /** The site of each listed server. */
    private final Map<String, String> siteOf = new HashMap<>();
    private final Set<String> readyServers = new TreeSet<>();
    private boolean admitsAll = true;
    private long recomputedAt;
    private boolean stale = true;

    /** The arrival rate of a class, and the share of it that is admitted. */
    private static final class ClassLoad {
        double perSecond;
        long updatedAt;
        double admittedShare = 1;
        /** Accumulated share of refusals: at 1 the next request is refused, which spaces the refusals evenly. */
        double refusalCredit;

        void arrived(long now) {
            perSecond = rate(now) + 1 / RATE_TIME_CONSTANT_S;
            updatedAt = now;
        }

        double rate(long now) {
            return perSecond * Math.exp((updatedAt - now) / 1e9 / RATE_TIME_CONSTANT_S);
        }
    }

    /**
     * {@code sites}: as this node sees them; {@code maxRetryDelay}: the longest delay that a refused client may be told, in nanoseconds, 0
     * to tell none; {@code log}: receives a line for each change of a site.
     */
    public PlanGate(Fleet fleet, FailoverPlan plan, SiteMonitor sites, long maxRetryDelay, long seed, Consumer<String> log) {
        this.fleet = fleet;
        this.plan = plan;
        this.sites = sites;
        this.maxRetryDelay = maxRetryDelay;
        this.random = new SplittableRandom(seed);
        this.log = log;
        fleet.classes().keySet().forEach(c -> loads.put(c, new ClassLoad()));
        admissionOrder = new ArrayList<>(fleet.refusalOrder());
        java.util.Collections.reverse(admissionOrder);
    }

    @Override
    public long refuses(long now, String requestClass) {
        ClassLoad load = loads.get(requestClass);
        if (load == null) {
            return ADMITTED;
        }
        load.arrived(now);
        sites.tick(now);
        logChanges();
        if (admitsAll) {
            return ADMITTED;
        }
        if (stale || now - recomputedAt >= RECOMPUTE_INTERVAL) {
            recompute(now);
        }
        load.refusalCredit += 1 - load.admittedShare;
        if (load.refusalCredit < 1) {
            return ADMITTED;
        }
        load.refusalCredit -= 1;
        return (long) (maxRetryDelay * (MIN_DELAY_SHARE + (1 - MIN_DELAY_SHARE) * random.nextDouble()));
    }

    @Override
    public void ended(long now, String server, Outcome outcome, long latency) {
        String site = siteOf.get(server);
        if (site == null) {
            return;
        }
        switch (outcome) {
            case OK, ERROR, FULL, REJECTED -> sites.answered(now, site, server);
            case TIMED_OUT, CONNECT_FAILED -> sites.unreachable(now, site, server);
            case CANCELLED -> {
                // Another attempt was quicker, or the client left: only a long silence counts as a failure.
                if (latency >= SILENT_AFTER) {
                    sites.unreachable(now, site, server);
                }
            }
            // A reset may be the end of a single server, and a request that was not sent is no evidence.
            case RESET, NOT_SENT -> { }
        }
        logChanges();
    }

    @Override
    public void listed(long now, ListKind kind, List<ServerEntry> entries) {
        if (kind == ListKind.REFUSED) {
            return;
        }
        if (kind != ListKind.CHANGES) {
            siteOf.clear();
            readyServers.clear();
        }
        for (ServerEntry entry : entries) {
            if (entry.state() == ServerState.GONE) {
                siteOf.remove(entry.server());
                readyServers.remove(entry.server());
                continue;
            }
            siteOf.put(entry.server(), entry.zone());
            if (entry.state() == ServerState.READY) {
                readyServers.add(entry.server());
            } else {
                readyServers.remove(entry.server());
            }
        }
        for (String site : fleet.sites().keySet()) {
            sites.listed(now, site, (int) readyServers.stream().filter(s -> site.equals(siteOf.get(s))).count());
        }
        logChanges();
    }

    @Override
    public List<Site> siteStatuses(long now) {
        sites.tick(now);
        logChanges();
        return fleet.sites().keySet().stream().map(name -> new Site(name, phase(name).name().toLowerCase(Locale.ROOT),
            sites.state(name).held(), sites.state(name).penalty(now))).toList();
    }

    @Override
    public boolean operators(long now, String site, boolean hold) {
        if (!fleet.sites().containsKey(site)
                || hold && fleet.sites().keySet().stream().allMatch(s -> s.equals(site) || sites.state(s).held())) {
            return false;
        }
        sites.override(now, site, hold ? OperatorOverride.HOLD : OperatorOverride.RELEASE);
        log.accept("site " + site + ": " + (hold ? "held" : "released") + " by operators");
        logChanges();
        return true;
    }

    /**
     * A site that operators hold gets no new requests. A lost site keeps its share here: the balancer reduces it as attempts fail, and the
     * attempts that remain detect its return.
     */
    @Override
    public Map<String, Double> shares() {
        Map<String, Double> shares = new TreeMap<>();
        fleet.sites().keySet().forEach(site -> shares.put(site, sites.state(site).held() ? 0.0 : 1.0));
        return shares;
    }

    /** The phase of a site as this node sees it. */
    public Phase phase(String site) {
        return sites.state(site).phase();
    }

    /** The share of a class that is admitted, 0 to 1. */
    public double admittedShare(String requestClass) {
        return admitsAll ? 1 : loads.get(requestClass).admittedShare;
    }

    private void logChanges() {
        for (SiteMonitor.PhaseChange change : sites.takeChanges()) {
            log.accept("site " + change.site() + ": " + change.from() + " to " + change.to()
                + (change.ownSiteIsolated() ? ", while this node's own site is cut off" : ""));
            stale = true;
        }
        boolean sound = !sites.anyDown();
        if (admitsAll && !sound) {
            loads.values().forEach(c -> c.refusalCredit = random.nextDouble());
        }
        admitsAll = sound;
    }

    /** The work that this node may admit, in seconds per second. */
    double admissibleWork() {
        Set<String> lost = new TreeSet<>();
        double nodes = 0;
        for (Map.Entry<String, Fleet.Site> site : fleet.sites().entrySet()) {
            if (sites.state(site.getKey()).isDown()) {
                lost.add(site.getKey());
            } else {
                nodes += site.getValue().nodes();
            }
        }
        return plannedWork(lost) / Math.max(1, nodes);
    }

    private double plannedWork(Set<String> lost) {
        Case c = plan.caseFor(lost);
        return fleet.classes().entrySet().stream()
            .mapToDouble(k -> c.served().get(k.getKey()) * k.getValue().work() * k.getValue().totalPerSecond()).sum();
    }

    private void recompute(long now) {
        recomputedAt = now;
        stale = false;
        double left = admissibleWork();
        double floors = 0;
        for (String name : admissionOrder) {
            floors += fleet.classes().get(name).floor() * arrivingWork(name, now);
        }
        double floorsMet = floors > left ? left / floors : 1;
        left -= floorsMet * floors;
        for (String name : admissionOrder) {
            double work = arrivingWork(name, now);
            double floor = floorsMet * fleet.classes().get(name).floor();
            double aboveFloor = Math.min(Math.max(0, left), (1 - floor) * work);
            left -= aboveFloor;
            loads.get(name).admittedShare = work <= 0 ? 1 : Math.min(1, floor + aboveFloor / work);
        }
    }

    private double arrivingWork(String requestClass, long now) {
        return fleet.classes().get(requestClass).work() * loads.get(requestClass).rate(now);
    }
}
