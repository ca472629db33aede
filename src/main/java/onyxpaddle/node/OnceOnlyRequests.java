package onyxpaddle.node;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import onyxpaddle.BalancerApi.Effect;

/**
 * The requests of a pool that must run once: what may have run lately, in this process of the node or in another, and what others have to
 * be told. Used on the event loop only.
 */
public final class OnceOnlyRequests {
    private final Clock clock;
    private final Collection<Exchange> open;
    private final RecentRuns recentRuns = new RecentRuns();
    /** Null if no other process of the node has to know. */
    private RunListener listener;

    /** {@code open}: the pool's open requests, as they are at any time. */
    OnceOnlyRequests(Clock clock, Collection<Exchange> open) {
        this.clock = clock;
        this.open = open;
    }

    /** Sets who is told of requests from now on. */
    public void setListener(RunListener runListener) {
        listener = runListener;
    }

    /** The ids of all requests that may have run lately or may run now. */
    public List<String> ids() {
        List<String> ids = new ArrayList<>(recentRuns.ids());
        open.stream().filter(x -> x.announced || x.mayHaveRunOnce()).forEach(x -> ids.add(x.id));
        return ids;
    }

    /** A request with this id may have run in another process of the node. */
    public void mayHaveRunElsewhere(String id) {
        recentRuns.add(id, clock.now());
    }

    /** No attempt of the request with this id has run in another process of the node, of which that was thought possible. */
    public void neverRanElsewhere(String id) {
        recentRuns.remove(id);
    }

    /** Whether a request with this id may have run and has ended. */
    boolean mayHaveRun(String id, long now) {
        return recentRuns.contains(id, now);
    }

    /** An attempt of the request is about to begin. */
    void begins(Exchange x) {
        if (!x.announced && listener != null && x.terms.requestClass().effect() == Effect.UNSAFE) {
            x.announced = true;
            listener.mayHaveRun(x.id);
        }
    }

    /** All attempts of the request have ended. */
    void ended(Exchange x) {
        boolean mayHaveRun = x.mayHaveRunOnce();
        if (mayHaveRun) {
            recentRuns.add(x.id, clock.now());
        }
        if (x.announced && mayHaveRun) {
            listener.mayHaveRun(x.id);
        } else if (x.announced) {
            listener.neverRan(x.id);
        }
    }
}
