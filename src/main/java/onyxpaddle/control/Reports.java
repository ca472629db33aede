package onyxpaddle.control;

import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import onyxpaddle.distribution.ConfigurationVersion;

/** What nodes and replicas said last; of each kind a bounded number, the ones not heard of for longest go first. */
final class Reports {
    static final int MOST_NODES = 16_384;
    static final int MOST_FOLLOWERS = 64;
    /** A follower calls every few seconds; one not heard of for this long is no more told of. */
    private static final long FOLLOWER_GONE_NANOS = TimeUnit.MINUTES.toNanos(10);

    private record Heard(ConfigurationRequest request, long at) {
    }

    private final Map<String, Heard> nodes = newest(MOST_NODES);
    private final Map<String, Heard> followers = newest(MOST_FOLLOWERS);

    private static Map<String, Heard> newest(int most) {
        return new LinkedHashMap<>(16, 0.75f, true) {
            private static final long serialVersionUID = 1;

            @Override
            protected boolean removeEldestEntry(Map.Entry<String, Heard> eldest) {
                return size() > most;
            }
        };
    }

    void hear(ConfigurationRequest request, long now) {
        Map<String, Heard> heard = request.replica() == null ? nodes : followers;
        heard.put(request.replica() == null ? request.subscription().node() : request.replica(), new Heard(request, now));
    }

    /** How many replicas have that version durable. */
    int holding(ConfigurationVersion version) {
        return (int) followers.values().stream().filter(heard -> !version.isAfter(heard.request().after())).count();
    }

    List<FollowerReport> followers(long now) {
        followers.values().removeIf(heard -> now - heard.at() > FOLLOWER_GONE_NANOS);
        return followers.values().stream().map(heard -> new FollowerReport(heard.request().replica(), heard.request().after(),
            age(heard, now))).sorted(Comparator.comparing(FollowerReport::id)).toList();
    }

    List<NodeReport> nodes(long now) {
        return nodes.values().stream().map(heard -> report(heard, now)).sorted(Comparator.comparing(NodeReport::node)).toList();
    }

    private static NodeReport report(Heard heard, long now) {
        ConfigurationRequest said = heard.request();
        return new NodeReport(said.subscription().node(), said.subscription().service(), said.after(), said.inForce(), said.refused(),
            said.fault(), age(heard, now));
    }

    private static long age(Heard heard, long now) {
        return TimeUnit.NANOSECONDS.toMillis(now - heard.at());
    }
}
