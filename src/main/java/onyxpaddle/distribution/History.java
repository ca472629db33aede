package onyxpaddle.distribution;

import java.util.List;

/**
 * What a replica has to know of the past, so that it can tell differences itself.
 *
 * @param floor no difference can be told after a version below this one, as tombstones up to it have been dropped
 * @param ends the last version of each earlier epoch that the state goes back to, oldest first
 */
public record History(ConfigurationVersion floor, List<ConfigurationVersion> ends) {
    /** Of a state that goes back to nothing. */
    public static final History EMPTY = new History(ConfigurationVersion.NONE, List.of());

    public History {
        ends = List.copyOf(ends);
    }

    /** Whether a state at {@code version} with this history goes back to {@code earlier}. */
    public boolean reaches(ConfigurationVersion version, ConfigurationVersion earlier) {
        return earlier.epoch() == version.epoch() ? !earlier.isAfter(version)
            : ends.stream().anyMatch(end -> end.epoch() == earlier.epoch() && !earlier.isAfter(end));
    }
}
