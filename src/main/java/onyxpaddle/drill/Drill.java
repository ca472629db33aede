package onyxpaddle.drill;

import java.util.List;
import java.util.Map;

/** What a drill plays: sites with nodes and boxes, the load, and a schedule of faults. Times in milliseconds from the load's begin. */
public record Drill(String name, long seed, long durationMs, Map<String, Site> sites, BoxSettings boxes, NodeSettings nodes,
        ListDelays lists, List<LoadClass> load, List<Fault> faults) {
    /** How many node processes and boxes a site has, and its part of the load. */
    public record Site(int nodes, int boxes, double share) {
    }

    /**
     * What a box can do: {@code atOnce} requests, each in {@code takesMs} and up to {@code jitterMs} more, with {@code queue} more
     * waiting; further ones it turns away unseen.
     *
     * @param drops whether one whose caller has gone while it waited is dropped, or is worked on all the same
     * @param coldMs how long a box that has started counts as cold
     * @param coldFrom the part of its capacity that it has at its start
     */
    public record BoxSettings(int atOnce, long takesMs, long jitterMs, int queue, boolean drops, long coldMs, double coldFrom) {
        /** Requests a second of a warm box. */
        double perSecond() {
            return atOnce * 1000.0 / (takesMs + jitterMs / 2.0);
        }
    }

    /**
     * What nodes are told of limits and rules.
     *
     * @param secondCopies whether a safe request that overstays may be sent once more
     * @param plan whether they have a plan for the loss of sites, made from what the drill says of sites, boxes and load
     */
    public record NodeSettings(int attempts, boolean secondCopies, long drainGraceMs, double coldMultiple, long coldWindowMs, boolean plan) {
    }

    /** How long lists stay behind what happens: {@code lostMs} for a box that is lost, {@code backMs} for one that is back. */
    public record ListDelays(long lostMs, long backMs) {
    }

    /**
     * A class of requests, {@code perSecond} over all sites. {@code retries}: by clients, under new ids, as told or at once; {@code floor}: the part of it that a
     * plan serves before any worth.
     */
    public record LoadClass(String name, Effect effect, double perSecond, long aimMs, long deadlineMs, double worth, int retries, double floor) {
    }

    /** What repeating a request of a class may do. */
    public enum Effect {
        SAFE("read_like"), UNSAFE("non_idempotent");

        /** As the platform's settings word it. */
        final String told;

        Effect(String told) {
            this.told = told;
        }
    }

    /** The kinds of faults. */
    public enum Kind {
        /** A node's process is killed, and started from nothing afterwards. */
        KILL("node"),
        /** A node's process stands still (SIGSTOP) and goes on with the next instruction. */
        STOP("node"),
        /** All of a site: node processes killed, boxes silent; afterwards both start from nothing, boxes cold. */
        LOSE("site"),
        /** The links between two sites: see {@link Cut}. */
        CUT("link"),
        /** A box is taken off the list by a drain, and put back. */
        DRAIN("box"),
        /** A box stands still and goes on. */
        FREEZE("box"),
        /** A box starts anew, cold. */
        RESTART("box"),
        /** Times the load for a while. */
        PUSH("load"),
        /** ListDelays stand still, and tell all at once afterwards. */
        HUSH("lists");

        /** What it hits, as the file's key. */
        final String hits;

        Kind(String hits) {
            this.hits = hits;
        }
    }

    /** How links are cut. */
    public enum Cut {
        /** Nothing passes either way; what was held is let through at the end, late. */
        SILENT,
        /** Nothing passes from the first site to the second; answers still do. */
        ONE_WAY,
        /** As SILENT, and reset at the end. */
        SILENT_THEN_RESET,
        /** Connections are reset and new ones refused. */
        REFUSED,
        /** All bytes come later by {@code size} milliseconds, and up to half as much more. */
        DELAYED,
        /** {@code size} KiB a second on each connection. */
        SLOW
    }

    /**
     * One fault.
     *
     * @param atMs when it begins; counted from the moment that {@code afterServed} requests have been served, if that is not 0
     * @param forMs how long it lasts
     * @param target a node ({@code north/2}), a box ({@code north/s1}), a site, or two sites of a link
     * @param cut of a link, else null
     * @param size of a push its factor, of a cut as said there
     */
    public record Fault(Kind kind, long atMs, long afterServed, long forMs, List<String> target, Cut cut, double size) {
        public Fault {
            target = List.copyOf(target);
        }

        @Override
        public String toString() {
            return kind.name().toLowerCase(java.util.Locale.ROOT) + (cut == null ? "" : " " + cut.name().toLowerCase(java.util.Locale.ROOT))
                + " " + String.join(" - ", target);
        }
    }

    public Drill {
        sites = Map.copyOf(new java.util.TreeMap<>(sites));
        load = List.copyOf(load);
        faults = List.copyOf(faults);
    }

    /** As it is, with a plan for the loss of sites in its nodes, or without. */
    public Drill withPlan(boolean plan) {
        return new Drill(name, seed, durationMs, sites, boxes, new NodeSettings(nodes.attempts(), nodes.secondCopies(), nodes.drainGraceMs(), nodes.coldMultiple(),
            nodes.coldWindowMs(), plan), lists, load, faults);
    }

    /** As it is, with clients that try again so often. */
    public Drill withRetries(int retries) {
        return new Drill(name, seed, durationMs, sites, boxes, nodes, lists, load.stream().map(c -> new LoadClass(c.name(), c.effect(), c.perSecond(), c.aimMs(),
            c.deadlineMs(), c.worth(), retries, c.floor())).toList(), faults);
    }

    /** As it is, with another seed. */
    public Drill withSeed(long other) {
        return new Drill(name, other, durationMs, sites, boxes, nodes, lists, load, faults);
    }

    /** The sites by name, in the order that numbers them. */
    List<String> siteNames() {
        return sites.keySet().stream().sorted().toList();
    }
}
