package onyxpaddle.control;

import onyxpaddle.distribution.ConfigurationVersion;

/**
 * A replica that follows this process.
 *
 * @param held the version that is durable at the replica
 * @param ageMs time since the request that reported it
 */
public record FollowerReport(String id, ConfigurationVersion held, long ageMs) {
}
