package onyxpaddle.site;

import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * The input of a failover plan: what each site can serve, and the load that arrives at it. Work is measured in seconds of one server slot:
 * a server that processes two requests at once, each in 20 ms, has a capacity of 2, and each such request costs a work of 0.02.
 *
 * <p>A plan file holds a digest of {@code toString()} of this record. Renaming this record, a nested one or a component invalidates all
 * existing plan files.
 *
 * @param sites by name
 * @param classes by name
 * @param crossings the links between sites that have a cost or a limit; all others are free and unlimited
 */
public record Fleet(String name, Map<String, Site> sites, Map<String, Kind> classes, List<Crossing> crossings) {
    /**
     * A site.
     *
     * @param capacity work that its servers can do, in seconds per second
     * @param spare the share of the capacity that plans leave unused, from 0 to below 1
     * @param nodes the number of node processes that take the site's clients
     */
    public record Site(double capacity, double spare, int nodes) {
        /** The work that a plan may send to the site, in seconds per second. */
        public double usable() {
            return capacity * (1 - spare);
        }
    }

    /**
     * A class of requests.
     *
     * @param work of one request, in seconds
     * @param worth of one served request
     * @param floor the share of the class that is served before classes are compared by worth, 0 to 1
     * @param perSecond the arrival rate by site, in requests per second
     */
    public record Kind(double work, double worth, double floor, Map<String, Double> perSecond) {
        public Kind {
            perSecond = sorted(perSecond);
        }

        /** The arrival rate over all sites, in requests per second. */
        public double totalPerSecond() {
            return perSecond.values().stream().mapToDouble(Double::doubleValue).sum();
        }

        /** The worth of one second of work on this class. */
        public double worthPerWork() {
            return worth / work;
        }
    }

    /**
     * A link from the clients of one site to the servers of another.
     *
     * @param cost the worth lost per second of work that uses the link
     * @param most the work per second that the link can carry; infinite for no limit
     */
    public record Crossing(String from, String to, double cost, double most) {
    }

    public Fleet {
        sites = sorted(sites);
        classes = sorted(classes);
        crossings = List.copyOf(crossings);
    }

    private static <V> Map<String, V> sorted(Map<String, V> map) {
        return Collections.unmodifiableMap(new TreeMap<>(map));
    }

    /** The work that arrives at a site, in seconds per second. */
    public double work(String site) {
        return classes.values().stream().mapToDouble(c -> c.work() * c.perSecond().getOrDefault(site, 0.0)).sum();
    }

    /** The worth per second of all arriving requests. */
    public double worth() {
        return classes.values().stream().mapToDouble(c -> c.worth() * c.totalPerSecond()).sum();
    }

    /** The link between two sites; free and unlimited where none is listed. */
    public Crossing crossing(String from, String to) {
        return crossings.stream().filter(c -> c.from().equals(from) && c.to().equals(to)).findFirst()
            .orElse(new Crossing(from, to, 0, Double.POSITIVE_INFINITY));
    }

    /** The classes in the order in which they are refused: lowest worth per second of work first. */
    public List<String> refusalOrder() {
        return classes.keySet().stream()
            .sorted(java.util.Comparator.comparingDouble((String c) -> classes.get(c).worthPerWork()).thenComparing(c -> c)).toList();
    }

    /** A copy with the capacity of each site multiplied by a factor. */
    public Fleet scaled(double factor) {
        Map<String, Site> scaled = new TreeMap<>();
        sites.forEach((name, s) -> scaled.put(name, new Site(s.capacity() * factor, s.spare(), s.nodes())));
        return new Fleet(name, scaled, classes, crossings);
    }

    /** The losses that a plan covers: no site, each single site and each pair, as long as one site survives. */
    public List<Set<String>> losses() {
        List<Set<String>> all = new java.util.ArrayList<>();
        all.add(Set.of());
        List<String> names = List.copyOf(sites.keySet());
        for (int i = 0; i < names.size() && names.size() > 1; i++) {
            all.add(Set.of(names.get(i)));
        }
        for (int i = 0; i < names.size() && names.size() > 2; i++) {
            for (int j = i + 1; j < names.size(); j++) {
                all.add(Collections.unmodifiableSet(new java.util.TreeSet<>(Set.of(names.get(i), names.get(j)))));
            }
        }
        return all;
    }
}
