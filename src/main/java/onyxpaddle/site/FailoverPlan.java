package onyxpaddle.site;

import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * What each node does when sites are lost, made before: for each loss the part of every class that is served, and where the clients of each site
 * are sent. All nodes have the same plan, so none needs another's word.
 *
 * @param of tells what it was made for from all else
 * @param fleet its name
 */
public record FailoverPlan(String of, String fleet, List<Case> cases) {
    /**
     * One loss.
     *
     * @param lost the sites; none for the usual day
     * @param served by class, the part of its requests that is served, 0 to 1
     * @param to by the site at which requests come, the parts of its work that go to each survivor; they add up to 1
     * @param evaluation what it comes to; null in a plan that was read from a file
     */
    public record Case(Set<String> lost, Map<String, Double> served, Map<String, Map<String, Double>> to, Evaluation evaluation) {
        public Case {
            lost = Collections.unmodifiableSet(new TreeSet<>(lost));
            served = Collections.unmodifiableMap(new TreeMap<>(served));
            Map<String, Map<String, Double>> ways = new TreeMap<>();
            to.forEach((from, parts) -> ways.put(from, Collections.unmodifiableMap(new TreeMap<>(parts))));
            to = Collections.unmodifiableMap(ways);
        }
    }

    /**
     * What a case comes to.
     *
     * @param worth a second that is served, crossings taken off
     * @param use by survivor, the work it gets over its capacity
     * @param floors the part of the stated floors that is held: below 1 where no plan can hold them
     * @param binds what keeps more from being served, in words; empty where all is served
     */
    public record Evaluation(double worth, Map<String, Double> use, double floors, List<String> binds) {
        public Evaluation {
            use = Collections.unmodifiableMap(new TreeMap<>(use));
            binds = List.copyOf(binds);
        }
    }

    public FailoverPlan {
        cases = List.copyOf(cases);
    }

    /** What is to be done when these sites are lost; where the plan has no such case, that of the largest part of them that it has. */
    public Case lost(Set<String> sites) {
        Case best = null;
        for (Case c : cases) {
            if (sites.containsAll(c.lost()) && (best == null || c.lost().size() > best.lost().size())) {
                best = c;
            }
        }
        return best;
    }
}
