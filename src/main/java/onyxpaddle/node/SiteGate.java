package onyxpaddle.node;

import java.util.List;
import java.util.Map;
import onyxpaddle.BalancerApi.ListKind;
import onyxpaddle.BalancerApi.Outcome;
import onyxpaddle.BalancerApi.ServerEntry;

/**
 * Refuses requests by the state of the sites before they use any resource: no attempt, connection or slot in a limit. It is told of
 * ended attempts and of changes to the list, and takes no part in the choice of a server. Times are the node's clock in nanoseconds.
 */
public interface SiteGate {
    /** Result of {@link #refuses} for a request that is admitted. */
    long ADMITTED = -1;

    /** Decides on a new request of this class: {@link #ADMITTED}, or the nanoseconds after which its client may retry. */
    long refuses(long now, String requestClass);

    /** An attempt ended; {@code latency}: nanoseconds since it was sent. */
    void ended(long now, String server, Outcome outcome, long latency);

    /** The list of servers changed; the arguments are those that the balancer gets. */
    void listed(long now, ListKind kind, List<ServerEntry> entries);

    /** The status of each site, for operators. */
    List<Site> siteStatuses(long now);

    /** Puts a site on hold for operators, or releases it; false if it is unknown, or no other site would be left. */
    boolean operators(long now, String site, boolean hold);

    /** By site, the factor on the probability with which its servers are drawn. */
    Map<String, Double> shares();

    /**
     * The status of a site as this node sees it.
     *
     * @param phase in lower case, such as {@code lost}
     * @param held whether operators hold it
     * @param penalty for its losses, which decays over time
     */
    record Site(String name, String phase, boolean held, double penalty) {
    }
}
