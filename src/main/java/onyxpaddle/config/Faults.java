package onyxpaddle.config;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.TreeSet;

/** All faults found in one run, in the order of their places, each once. Bounded: a file of noise has thousands. */
public final class Faults {
    private static final int MOST = 200;

    private final TreeSet<Fault> found = new TreeSet<>();
    private int omitted;

    public void add(Place place, String path, String wrong, String right) {
        add(new Fault(place, path, wrong, right));
    }

    public void add(Fault fault) {
        if (found.size() < MOST) {
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

    /** How many more there were than are kept. */
    public int omitted() {
        return omitted;
    }
}
