package onyxpaddle.distribution;

import java.util.List;

/**
 * What a replica needs to know about earlier versions to compute deltas itself.
 *
 * @param floor no delta can be computed from a version before this one, as tombstones up to it have been dropped
 * @param epochEnds the last version of each earlier epoch that the state descends from, oldest first
 */
public record History(ConfigurationVersion floor, List<ConfigurationVersion> epochEnds) {
    /** The history of a state without predecessors. */
    public static final History EMPTY = new History(ConfigurationVersion.NONE, List.of());

    public History {
        epochEnds = List.copyOf(epochEnds);
    }

    /** Whether a state at {@code version} with this history descends from {@code earlier}. */
    public boolean contains(ConfigurationVersion version, ConfigurationVersion earlier) {
        return earlier.epoch() == version.epoch() ? !earlier.isAfter(version)
            : epochEnds.stream().anyMatch(end -> end.epoch() == earlier.epoch() && !earlier.isAfter(end));
    }
}
