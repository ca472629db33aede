package onyxpaddle.control;

import java.util.List;
import onyxpaddle.distribution.ConfigurationVersion;

/**
 * Status of a control process.
 *
 * @param version the version that it serves; {@code NONE} if none
 * @param staleMs as in {@link onyxpaddle.distribution.Update}
 * @param fenced whether it is a publisher that has seen a later one
 */
public record Status(String id, boolean publisher, boolean fenced, ConfigurationVersion version, long staleMs, int waiting,
        List<FollowerReport> followers, List<NodeReport> nodes) {
    public Status {
        followers = List.copyOf(followers);
        nodes = List.copyOf(nodes);
    }
}
