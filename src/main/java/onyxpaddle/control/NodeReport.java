package onyxpaddle.control;

import onyxpaddle.distribution.ConfigurationVersion;

/**
 * The state that a node reported with its last request.
 *
 * @param held the version that it has received
 * @param inForce the version that it has in force
 * @param refused the last version that it refused, or {@code NONE}
 * @param fault the first fault in the refused version; empty for none
 * @param ageMs time since that request
 */
public record NodeReport(String node, String service, ConfigurationVersion held, ConfigurationVersion inForce,
        ConfigurationVersion refused, String fault, long ageMs) {
}
