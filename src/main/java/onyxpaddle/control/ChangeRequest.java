package onyxpaddle.control;

import java.util.List;
import onyxpaddle.distribution.ConfigurationTable.Change;
import onyxpaddle.distribution.ConfigurationVersion;

/**
 * Changes that become one version, or nothing.
 *
 * @param base no key among the changes may have changed after this version; null for no such condition
 * @param changes each key once, at least one
 */
public record ChangeRequest(ConfigurationVersion base, List<Change> changes) {
    public ChangeRequest {
        changes = List.copyOf(changes);
    }
}
