package onyxpaddle.node;

import java.util.List;
import java.util.Map;
import onyxpaddle.BalancerApi.ListKind;
import onyxpaddle.BalancerApi.Outcome;
import onyxpaddle.BalancerApi.ServerEntry;

/**
 * Turns requests away before they take anything: no attempt, no connection, no place below. Hears what becomes of attempts and of the
 * list, and has no part in which server is chosen. Times are the node's clock in nanoseconds.
 */
public interface SiteGate {
    /** What {@link #refuses} answers for a request that is let in. */
    long ADMITTED = -1;

    /** A request of this class has come: {@link #ADMITTED}, or the span in nanoseconds after which its client may come back. */
    long refuses(long now, String requestClass);

    /** An attempt ended, so many nanoseconds after it was sent. */
    void ended(long now, String server, Outcome outcome, long latency);

    /** News of the list, as the module gets it. */
    void listed(long now, ListKind kind, List<ServerEntry> entries);

    /** How each site stands, for on-call staff. */
    List<Site> siteStatuses(long now);

    /** Operators hold a site, or release it; false where it is not known, or no other would be left. */
    boolean operators(long now, String site, boolean hold);

    /** The part of its chances that each site's servers keep. */
    Map<String, Double> shares();

    /**
     * A site as the node sees it.
     *
     * @param phase in lower case, such as {@code lost}
     * @param held whether operators hold it
     * @param penalty for its losses, which fades
     */
    record Site(String name, String phase, boolean held, double penalty) {
    }
}
