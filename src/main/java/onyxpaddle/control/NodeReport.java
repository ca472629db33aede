package onyxpaddle.control;

import onyxpaddle.distribution.ConfigurationVersion;

/**
 * What a node said of itself with its last call.
 *
 * @param held the version that it has been told
 * @param inForce the version that it runs by
 * @param refused the last version that it refused, or {@code NONE}
 * @param fault the first fault of what it refused; empty for none
 * @param ageMs how long ago it said so
 */
public record NodeReport(String node, String service, ConfigurationVersion held, ConfigurationVersion inForce,
        ConfigurationVersion refused, String fault, long ageMs) {
}
