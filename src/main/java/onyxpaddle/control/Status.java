package onyxpaddle.control;

import java.util.List;
import onyxpaddle.distribution.ConfigurationVersion;

/**
 * How a control process stands.
 *
 * @param version what it tells; {@code NONE} while it has nothing to tell
 * @param staleMs as in {@link onyxpaddle.distribution.Update}
 * @param fenced a publisher that has seen a later one
 */
public record Status(String id, boolean publisher, boolean fenced, ConfigurationVersion version, long staleMs, int waiting,
        List<FollowerReport> followers, List<NodeReport> nodes) {
    public Status {
        followers = List.copyOf(followers);
        nodes = List.copyOf(nodes);
    }
}
