package onyxpaddle.site;

import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * The precomputed response to the loss of sites: for each loss, the share of every class that is served and the sites that the clients of
 * each site are sent to. All nodes load the same plan, so they act alike without coordination.
 *
 * @param fleetDigest identifies the figures that the plan was made from
 * @param fleetName the name of the fleet that the plan was made for
 */
public record FailoverPlan(String fleetDigest, String fleetName, List<Case> cases) {
    /**
     * The response to one loss.
     *
     * @param lost the lost sites; empty for normal operation
     * @param served by class, the share of its requests that is served, 0 to 1
     * @param destinations by the site where requests arrive, the shares of its work that go to each survivor; they add up to 1
     * @param evaluation the expected result; null in a plan that was read from a file
     */
    public record Case(Set<String> lost, Map<String, Double> served, Map<String, Map<String, Double>> destinations, Evaluation evaluation) {
        public Case {
            lost = Collections.unmodifiableSet(new TreeSet<>(lost));
            served = Collections.unmodifiableMap(new TreeMap<>(served));
            Map<String, Map<String, Double>> copy = new TreeMap<>();
            destinations.forEach((from, shares) -> copy.put(from, Collections.unmodifiableMap(new TreeMap<>(shares))));
            destinations = Collections.unmodifiableMap(copy);
        }
    }

    /**
     * The expected result of a case.
     *
     * @param worth served per second, less the cost of links between sites
     * @param utilization by survivor, the work sent to it divided by its capacity
     * @param floorsMet the fraction of the configured floors that is met: below 1 where no plan can meet them in full
     * @param bindingConstraints for display, the constraints that keep more from being served; empty where everything is served
     */
    public record Evaluation(double worth, Map<String, Double> utilization, double floorsMet, List<String> bindingConstraints) {
        public Evaluation {
            utilization = Collections.unmodifiableMap(new TreeMap<>(utilization));
            bindingConstraints = List.copyOf(bindingConstraints);
        }
    }

    public FailoverPlan {
        cases = List.copyOf(cases);
    }

    /** The case for these lost sites; where the plan has none, the case with the largest subset of them. */
    public Case caseFor(Set<String> lost) {
        Case best = null;
        for (Case c : cases) {
            if (lost.containsAll(c.lost()) && (best == null || c.lost().size() > best.lost().size())) {
                best = c;
            }
        }
        return best;
    }
}
