package onyxpaddle.drill;

import java.util.List;
import java.util.Map;

/** A drill: sites with nodes and boxes, the load, and a schedule of faults. Times are milliseconds since the start of the load. */
public record Drill(String name, long seed, long durationMs, Map<String, Site> sites, BoxSettings boxes, NodeSettings nodes,
        ListDelays lists, List<LoadClass> load, List<Fault> faults) {
    /** The number of node processes and boxes of a site, and its share of the load. */
    public record Site(int nodes, int boxes, double share) {
    }

    /**
     * The capacity of a box: {@code atOnce} concurrent requests, each taking {@code takesMs} plus up to {@code jitterMs}, and up to
     * {@code queue} waiting requests; any more are refused without being processed.
     *
     * @param drops whether a queued request is dropped when its caller has disconnected; otherwise it is executed all the same
     * @param coldMs how long a box is cold after its start
     * @param coldFrom the fraction of its capacity that it has at its start
     */
    public record BoxSettings(int atOnce, long takesMs, long jitterMs, int queue, boolean drops, long coldMs, double coldFrom) {
        /** Throughput of a warm box, in requests per second. */
        double perSecond() {
            return atOnce * 1000.0 / (takesMs + jitterMs / 2.0);
        }
    }

    /**
     * The limits and rules in the configuration of nodes.
     *
     * @param secondCopies whether a second copy of a slow safe request may be sent
     * @param plan whether they have a plan for the loss of sites, computed from the sites, boxes and load of the drill
     */
    public record NodeSettings(int attempts, boolean secondCopies, long drainGraceMs, double coldMultiple, long coldWindowMs,
            boolean plan) {
    }

    /** The delay until lists report that a box is gone ({@code lostMs}) and that it is back ({@code backMs}). */
    public record ListDelays(long lostMs, long backMs) {
    }

    /**
     * A class of requests, {@code perSecond} over all sites.
     *
     * @param retries retries by clients, under new ids, after the delay that the answer asks for or at once
     * @param floor the fraction of it that a plan serves before it weighs any worth
     */
    public record LoadClass(String name, Effect effect, double perSecond, long aimMs, long deadlineMs, double worth, int retries,
            double floor) {
    }

    /** What repeating a request of a class may do. */
    public enum Effect {
        SAFE("read_like"), UNSAFE("non_idempotent");

        /** The name in the settings of the platform. */
        final String configName;

        Effect(String configName) {
            this.configName = configName;
        }
    }

    public enum Kind {
        /** A node's process is killed, and started afresh at the end of the fault. */
        KILL("node"),
        /** A node's process is suspended (SIGSTOP) and continues at the end of the fault. */
        STOP("node"),
        /** Loss of a site: node processes are killed and boxes unreachable; at the end both start afresh, the boxes cold. */
        LOSE("site"),
        /** The links between two sites: see {@link Cut}. */
        CUT("link"),
        /** A box is listed as draining, and as ready again at the end. */
        DRAIN("box"),
        /** A box stops answering for a while. */
        FREEZE("box"),
        /** A box restarts and is cold. */
        RESTART("box"),
        /** The load is multiplied by a factor for a while. */
        PUSH("load"),
        /** Lists are not updated; all changes are reported at once at the end. */
        HUSH("lists");

        /** The type of its target: node, box, site, link, load or lists. */
        final String targetType;

        Kind(String targetType) {
            this.targetType = targetType;
        }
    }

    public enum Cut {
        /** Nothing passes in either direction; held data is delivered at the end. */
        SILENT,
        /** Nothing passes from the first site to the second; the opposite direction still works. */
        ONE_WAY,
        /** As SILENT, but connections are reset at the end. */
        SILENT_THEN_RESET,
        /** Connections are reset and new ones refused. */
        REFUSED,
        /** All data is delayed by {@code size} milliseconds plus up to half of that. */
        DELAYED,
        /** Each connection is limited to {@code size} KiB per second. */
        SLOW
    }

    /**
     * A scheduled fault.
     *
     * @param atMs when it begins; if {@code afterServed} is not 0, counted from the moment when that many requests have been served
     * @param forMs how long it lasts
     * @param target a node ({@code north/2}), a box ({@code north/s1}), a site, or two sites of a link
     * @param cut how the link is cut; null for other kinds
     * @param size the load factor of a PUSH; for a cut, see {@link Cut}
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

    /** A copy whose nodes have a plan for the loss of sites, or none. */
    public Drill withPlan(boolean plan) {
        return new Drill(name, seed, durationMs, sites, boxes, new NodeSettings(nodes.attempts(), nodes.secondCopies(),
            nodes.drainGraceMs(), nodes.coldMultiple(), nodes.coldWindowMs(), plan), lists, load, faults);
    }

    /** A copy with this number of retries by clients. */
    public Drill withRetries(int retries) {
        return new Drill(name, seed, durationMs, sites, boxes, nodes, lists, load.stream().map(c -> new LoadClass(c.name(),
            c.effect(), c.perSecond(), c.aimMs(), c.deadlineMs(), c.worth(), retries, c.floor())).toList(), faults);
    }

    public Drill withSeed(long other) {
        return new Drill(name, other, durationMs, sites, boxes, nodes, lists, load, faults);
    }

    /** Site names in alphabetical order. */
    List<String> siteNames() {
        return sites.keySet().stream().sorted().toList();
    }
}
