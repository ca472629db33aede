package onyxpaddle.control;

import onyxpaddle.distribution.ConfigurationVersion;

/**
 * A replica that follows this process.
 *
 * @param held the version that is durable there
 * @param ageMs how long ago it said so
 */
public record FollowerReport(String id, ConfigurationVersion held, long ageMs) {
}
