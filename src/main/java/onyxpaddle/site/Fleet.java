package onyxpaddle.site;

import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * What a plan for the loss of sites is made from. Work is counted in seconds of one place at a server: a server that does two requests at once,
 * each in 20 ms, has a capacity of 2, and such a request has a work of 0.02.
 *
 * @param sites by name
 * @param classes by name
 * @param crossings the ways between sites that cost something or hold little; all others are free and without bound
 */
public record Fleet(String name, Map<String, Site> sites, Map<String, Kind> classes, List<Crossing> crossings) {
    /**
     * A site.
     *
     * @param capacity work that its servers do, seconds a second
     * @param spare the part of it that no plan uses, 0 to below 1
     * @param nodes the processes that take its clients
     */
    public record Site(double capacity, double spare, int nodes) {
        /** Work that a plan may send there, seconds a second. */
        public double usable() {
            return capacity * (1 - spare);
        }
    }

    /**
     * A class of requests.
     *
     * @param work of one, in seconds
     * @param worth of one that is served
     * @param floor the part of them that is served before any worth is weighed, 0 to 1
     * @param perSecond how many come in a second, by the site at which they come
     */
    public record Kind(double work, double worth, double floor, Map<String, Double> perSecond) {
        public Kind {
            perSecond = sorted(perSecond);
        }

        /** Requests a second at all sites. */
        public double total() {
            return perSecond.values().stream().mapToDouble(Double::doubleValue).sum();
        }

        /** What a second of work on it brings. */
        public double worthOfWork() {
            return worth / work;
        }
    }

    /**
     * A way from the clients of one site to the servers of another.
     *
     * @param cost worth that a second of work loses by going there
     * @param most work a second that may go there; infinite for no bound
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

    /** Work a second that comes at a site. */
    public double work(String site) {
        return classes.values().stream().mapToDouble(c -> c.work() * c.perSecond().getOrDefault(site, 0.0)).sum();
    }

    /** Worth a second of all that comes. */
    public double worth() {
        return classes.values().stream().mapToDouble(c -> c.worth() * c.total()).sum();
    }

    /** The way between two sites. */
    public Crossing crossing(String from, String to) {
        return crossings.stream().filter(c -> c.from().equals(from) && c.to().equals(to)).findFirst()
            .orElse(new Crossing(from, to, 0, Double.POSITIVE_INFINITY));
    }

    /** The classes in the order in which they are refused: those whose work is worth least first. */
    public List<String> refusalOrder() {
        return classes.keySet().stream().sorted(java.util.Comparator.comparingDouble((String c) -> classes.get(c).worthOfWork()).thenComparing(c -> c)).toList();
    }

    /** As it is, with so many times the capacity at each site. */
    public Fleet scaled(double times) {
        Map<String, Site> other = new TreeMap<>();
        sites.forEach((name, s) -> other.put(name, new Site(s.capacity() * times, s.spare(), s.nodes())));
        return new Fleet(name, other, classes, crossings);
    }

    /** All losses that a plan has an answer for: none, one, and two sites, as long as one is left. */
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
