package onyxpaddle.scale;

import java.util.List;

/**
 * How large a run is.
 *
 * @param nodes sizes that slopes over nodes are fitted on, the last one foretold
 * @param eventNodes the fleet that events hit
 * @param listCapacity whole lists that the service makes in a second
 * @param rounds of each size
 * @param calmMs the window of a calm measurement; in it each watch of a calm list ends once or a whole number of times
 * @param outageMs how long the service answers 503
 * @param restartMs over how long the day's restarts are spread
 * @param realNodes whether real processes are measured, too
 */
record ScaleSize(String name, List<Integer> nodes, int eventNodes, double listCapacity, int rounds, long calmMs, long outageMs, long restartMs,
        boolean realNodes) {
    /** The operators' fleet. */
    static final int WHOLE = 920;
    private static final double CAPACITY = 1_000;

    ScaleSize {
        nodes = List.copyOf(nodes);
    }

    /** Under two minutes on 8 free cores: a quarter of the fleet. */
    static ScaleSize shortForm() {
        return new ScaleSize("short", List.of(46, 77, 92, 115, 230), 230, CAPACITY / 4, 3, 2_000, 8_000, 5_000, true);
    }

    /** The whole fleet. */
    static ScaleSize longForm() {
        return new ScaleSize("long", List.of(115, 230, 345, 460, WHOLE), WHOLE, CAPACITY, 3, 4_000, 8_000, 20_000, true);
    }

    /** For tests: a few dozen hollow nodes and no real ones. */
    static ScaleSize trial() {
        return new ScaleSize("trial", List.of(8, 12, 16, 20, 40), 32, CAPACITY, 1, 2_000, 5_600, 1_000, false);
    }

    int largest() {
        return Math.max(eventNodes, nodes.stream().mapToInt(n -> n).max().orElse(0));
    }
}
