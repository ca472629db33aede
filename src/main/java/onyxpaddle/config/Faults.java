package onyxpaddle.config;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.TreeSet;

/** The distinct faults found in one run, ordered by place. Bounded, as a garbage file produces thousands. */
public final class Faults {
    private static final int MAX_FAULTS = 200;

    private final TreeSet<Fault> found = new TreeSet<>();
    private int omitted;

    public void add(Place place, String path, String wrong, String right) {
        add(new Fault(place, path, wrong, right));
    }

    public void add(Fault fault) {
        if (found.size() < MAX_FAULTS) {
            found.add(fault);
        } else {
            omitted++;
        }
    }

    public void addAll(Collection<Fault> faults) {
        faults.forEach(this::add);
    }

    public boolean any() {
        return !found.isEmpty();
    }

    public List<Fault> list() {
        return new ArrayList<>(found);
    }

    /** Returns the number of faults added after the limit was reached. */
    public int omitted() {
        return omitted;
    }
}
