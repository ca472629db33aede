package onyxpaddle.control;

import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import onyxpaddle.distribution.ConfigurationVersion;

/** The last report of each node and replica. Of each kind a bounded number is kept; the least recently updated is evicted first. */
final class Reports {
    static final int MAX_NODES = 16_384;
    static final int MAX_FOLLOWERS = 64;
    /** Replicas send a request every few seconds; one without a request for this long is no longer listed. */
    private static final long FOLLOWER_EXPIRY_NANOS = TimeUnit.MINUTES.toNanos(10);

    private record Received(ConfigurationRequest request, long at) {
    }

    private final Map<String, Received> nodes = lruMap(MAX_NODES);
    private final Map<String, Received> followers = lruMap(MAX_FOLLOWERS);

    private static Map<String, Received> lruMap(int max) {
        return new LinkedHashMap<>(16, 0.75f, true) {
            private static final long serialVersionUID = 1;

            @Override
            protected boolean removeEldestEntry(Map.Entry<String, Received> eldest) {
                return size() > max;
            }
        };
    }

    void update(ConfigurationRequest request, long now) {
        Map<String, Received> received = request.replica() == null ? nodes : followers;
        received.put(request.replica() == null ? request.subscription().node() : request.replica(), new Received(request, now));
    }

    /** Returns how many replicas have that version on disk. */
    int replicasHolding(ConfigurationVersion version) {
        return (int) followers.values().stream().filter(received -> !version.isAfter(received.request().after())).count();
    }

    List<FollowerReport> followers(long now) {
        followers.values().removeIf(received -> now - received.at() > FOLLOWER_EXPIRY_NANOS);
        return followers.values().stream().map(received -> new FollowerReport(received.request().replica(), received.request().after(),
            ageMs(received, now))).sorted(Comparator.comparing(FollowerReport::id)).toList();
    }

    List<NodeReport> nodes(long now) {
        return nodes.values().stream().map(received -> report(received, now)).sorted(Comparator.comparing(NodeReport::node)).toList();
    }

    private static NodeReport report(Received received, long now) {
        ConfigurationRequest last = received.request();
        return new NodeReport(last.subscription().node(), last.subscription().service(), last.after(), last.inForce(), last.refused(),
            last.fault(), ageMs(received, now));
    }

    private static long ageMs(Received received, long now) {
        return TimeUnit.NANOSECONDS.toMillis(now - received.at());
    }
}
