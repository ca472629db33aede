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
import onyxpaddle.site.SiteState.Phase;
import onyxpaddle.site.SiteState.Word;

/**
 * Refuses by a plan while sites are lost. The plan says how much work the survivors may take; this node's part of it is that over the nodes that
 * are left, as no node tells another anything. Against that stands the work that comes here by its own count of the last second, and what is
 * too much is refused in the plan's order: never below a class's floor, the work that is worth least first. So a loss at night
 * refuses nothing, and a plan made for another load than today's refuses what today asks. While no site is lost it lets all in: one that
 * returns is paced by what its cold servers may be sent, and by the module's own limit.
 *
 * <p>It does harm where the nodes of a site that is lost live on and keep their clients: survivors then have more than their part to give and
 * refuse too little, which is left to the module's own limit.
 */
public final class PlanGate implements SiteGate {
    /** Over which arrivals are counted, in seconds. */
    private static final double SPAN_S = 1;
    /** How often the parts that are let in are worked out anew. */
    private static final long ANEW = 20_000_000L;
    /** A call that its node stopped waiting for after this had no answer in time; one that was stopped sooner says nothing. */
    private static final long SILENT_AFTER = 200_000_000L;
    /** The part of the longest time to come back that is given at the least: the rest is spread. */
    private static final double SOONEST = 0.25;

    private final Fleet fleet;
    private final FailoverPlan plan;
    private final SiteMonitor sites;
    private final long longestAway;
    private final SplittableRandom random;
    private final Consumer<String> log;
    private final Map<String, Count> counts = new TreeMap<>();
    /** The class whose work is worth most first. */
    private final List<String> best;
    /** As the list says: by server its site, and those that are ready. */
    private final Map<String, String> siteOf = new HashMap<>();
    private final Set<String> ready = new TreeSet<>();
    private boolean open = true;
    private long workedOutAt;
    private boolean stale = true;

    /** What has come of a class, and the part of it that is let in. */
    private static final class Count {
        double perSecond;
        long at;
        double letIn = 1;
        /** Of the refusals so far, what is still owed: so many in a hundred, evenly. */
        double owed;

        void came(long now) {
            perSecond = now(now) + 1 / SPAN_S;
            at = now;
        }

        double now(long now) {
            return perSecond * Math.exp((at - now) / 1e9 / SPAN_S);
        }
    }

    /**
     * {@code sites}: as this node sees them; {@code longestAway}: the longest time in nanoseconds that a client may be told to stay away, 0 where it
     * may not be told; {@code log}: takes a line for each change.
     */
    public PlanGate(Fleet fleet, FailoverPlan plan, SiteMonitor sites, long longestAway, long seed, Consumer<String> log) {
        this.fleet = fleet;
        this.plan = plan;
        this.sites = sites;
        this.longestAway = longestAway;
        this.random = new SplittableRandom(seed);
        this.log = log;
        fleet.classes().keySet().forEach(c -> counts.put(c, new Count()));
        best = new ArrayList<>(fleet.refusalOrder());
        java.util.Collections.reverse(best);
    }

    @Override
    public long refuses(long now, String requestClass) {
        Count count = counts.get(requestClass);
        if (count == null) {
            return ADMITTED;
        }
        count.came(now);
        sites.tick(now);
        news();
        if (open) {
            return ADMITTED;
        }
        if (stale || now - workedOutAt >= ANEW) {
            workOut(now);
        }
        count.owed += 1 - count.letIn;
        if (count.owed < 1) {
            return ADMITTED;
        }
        count.owed -= 1;
        return (long) (longestAway * (SOONEST + (1 - SOONEST) * random.nextDouble()));
    }

    @Override
    public void ended(long now, String server, Outcome outcome, long latency) {
        String site = siteOf.get(server);
        if (site == null) {
            return;
        }
        switch (outcome) {
            case OK, ERROR, FULL, REJECTED, NOT_REPLAYABLE -> sites.answered(now, site, server);
            case TIMED_OUT, CONNECT_FAILED -> sites.unreachable(now, site, server);
            case CANCELLED -> {
                // Another attempt was quicker, or its client left: that it was silent for long is what counts.
                if (latency >= SILENT_AFTER) {
                    sites.unreachable(now, site, server);
                }
            }
            // A reset may be one server's end, and what was not sent says nothing.
            case RESET, NOT_SENT -> { }
        }
        news();
    }

    @Override
    public void listed(long now, ListKind kind, List<ServerEntry> entries) {
        if (kind == ListKind.REFUSED) {
            return;
        }
        if (kind != ListKind.CHANGES) {
            siteOf.clear();
            ready.clear();
        }
        for (ServerEntry entry : entries) {
            if (entry.state() == ServerState.GONE) {
                siteOf.remove(entry.server());
                ready.remove(entry.server());
                continue;
            }
            siteOf.put(entry.server(), entry.zone());
            if (entry.state() == ServerState.READY) {
                ready.add(entry.server());
            } else {
                ready.remove(entry.server());
            }
        }
        for (String site : fleet.sites().keySet()) {
            sites.listed(now, site, (int) ready.stream().filter(s -> site.equals(siteOf.get(s))).count());
        }
        news();
    }

    @Override
    public List<Site> siteStatuses(long now) {
        sites.tick(now);
        news();
        return fleet.sites().keySet().stream().map(name -> new Site(name, phase(name).name().toLowerCase(Locale.ROOT), sites.state(name).held(),
            sites.state(name).penalty(now))).toList();
    }

    @Override
    public boolean operators(long now, String site, boolean hold) {
        if (!fleet.sites().containsKey(site) || hold && fleet.sites().keySet().stream().allMatch(s -> s.equals(site) || sites.state(s).held())) {
            return false;
        }
        sites.operators(now, site, hold ? Word.HOLD : Word.RELEASE);
        log.accept("site " + site + ": " + (hold ? "held" : "released") + " by operators");
        news();
        return true;
    }

    /** Nothing new to a site that operators hold. One that is lost keeps its chances: failures take them, and what is left of these finds it back. */
    @Override
    public Map<String, Double> shares() {
        Map<String, Double> shares = new TreeMap<>();
        fleet.sites().keySet().forEach(site -> shares.put(site, sites.state(site).held() ? 0.0 : 1.0));
        return shares;
    }

    /** How a site stands with this node. */
    public Phase phase(String site) {
        return sites.state(site).phase();
    }

    /** The part of a class that is let in, 0 to 1. */
    public double letIn(String requestClass) {
        return open ? 1 : counts.get(requestClass).letIn;
    }

    private void news() {
        for (SiteMonitor.Change change : sites.changes()) {
            log.accept("site " + change.site() + ": " + change.from() + " to " + change.to() + (change.ownSiteCut() ? ", while this node's own is cut off" : ""));
            stale = true;
        }
        boolean sound = !sites.anyGone();
        if (open && !sound) {
            counts.values().forEach(c -> c.owed = random.nextDouble());
        }
        open = sound;
    }

    /** Work a second that this node may let in. */
    double allowed() {
        Set<String> lost = new TreeSet<>();
        double nodes = 0;
        for (Map.Entry<String, Fleet.Site> site : fleet.sites().entrySet()) {
            if (sites.state(site.getKey()).gone()) {
                lost.add(site.getKey());
            } else {
                nodes += site.getValue().nodes();
            }
        }
        return work(lost) / Math.max(1, nodes);
    }

    private double work(Set<String> lost) {
        Case c = plan.lost(lost);
        return fleet.classes().entrySet().stream().mapToDouble(k -> c.served().get(k.getKey()) * k.getValue().work() * k.getValue().total()).sum();
    }

    private void workOut(long now) {
        workedOutAt = now;
        stale = false;
        double left = allowed();
        double floors = 0;
        for (String name : best) {
            floors += fleet.classes().get(name).floor() * work(name, now);
        }
        double held = floors > left ? left / floors : 1;
        left -= held * floors;
        for (String name : best) {
            double work = work(name, now);
            double floor = held * fleet.classes().get(name).floor();
            double more = Math.min(Math.max(0, left), (1 - floor) * work);
            left -= more;
            counts.get(name).letIn = work <= 0 ? 1 : Math.min(1, floor + more / work);
        }
    }

    private double work(String requestClass, long now) {
        return fleet.classes().get(requestClass).work() * counts.get(requestClass).now(now);
    }
}
