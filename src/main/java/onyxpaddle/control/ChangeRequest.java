package onyxpaddle.control;

import java.util.List;
import onyxpaddle.distribution.ConfigurationTable.Change;
import onyxpaddle.distribution.ConfigurationVersion;

/**
 * Changes that are published atomically as one version.
 *
 * @param base the changes are refused if any of their keys has changed after this version; null for no such condition
 * @param changes at least one, each with a distinct key
 */
public record ChangeRequest(ConfigurationVersion base, List<Change> changes) {
    public ChangeRequest {
        changes = List.copyOf(changes);
    }
}
