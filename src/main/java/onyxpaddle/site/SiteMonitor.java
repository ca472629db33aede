package onyxpaddle.site;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import onyxpaddle.site.SiteState.OperatorOverride;
import onyxpaddle.site.SiteState.Phase;

/**
 * Tracks the state of all sites as one node sees them. Distinguishes the loss of another site from the isolation of the node's own site:
 * where no other site answers and the own one does, the own site is taken to be cut off and no other site counts as lost. With two sites
 * these cases can't be told apart from within; the other site then counts as lost, as its servers can't be reached either way. Does no I/O.
 */
public final class SiteMonitor {
    /** A change of a site's phase, for the log. */
    public record PhaseChange(long at, String site, Phase from, Phase to, boolean ownSiteIsolated) {
    }

    /** Bound on the changes not yet taken; the oldest are dropped first. */
    private static final int MAX_PENDING_CHANGES = 100;

    private final String ownSite;
    private final Map<String, SiteState> states = new TreeMap<>();
    private final Map<String, Long> lastAnswers = new TreeMap<>();
    private final long silence;
    private final List<PhaseChange> pendingChanges = new ArrayList<>();

    /** {@code ownSite}: the node's site; {@code silence}: how long after its last answer a site counts as reachable, in nanoseconds. */
    public SiteMonitor(String ownSite, List<String> names, SiteRules rules, long silence) {
        this.ownSite = ownSite;
        this.silence = silence;
        names.forEach(name -> states.put(name, new SiteState(rules)));
        if (!states.containsKey(ownSite)) {
            throw new IllegalArgumentException("own site " + ownSite + " is not one of " + names);
        }
    }

    /** The server lists changed: see {@link SiteState#listed}. */
    public void listed(long now, String site, int ready) {
        update(now, site, s -> s.listed(now, ready));
    }

    /** A server of the site answered. */
    public void answered(long now, String site, String server) {
        if (states.containsKey(site)) {
            lastAnswers.put(site, now);
        }
        update(now, site, s -> s.answered(now, server));
    }

    /** A server of the site could not be reached. */
    public void unreachable(long now, String site, String server) {
        boolean isolated = ownSiteIsolated(now);
        update(now, site, s -> s.unreachable(now, server, isolated && !site.equals(ownSite)));
    }

    /** Applies an operator override to a site. */
    public void override(long now, String site, OperatorOverride ordered) {
        update(now, site, s -> s.override(now, ordered));
    }

    /** Makes the transitions that are due. Other sites stay suspected while the own site is isolated. */
    public void tick(long now) {
        boolean isolated = ownSiteIsolated(now);
        for (String site : states.keySet()) {
            if (!isolated || site.equals(ownSite) || state(site).phase() != Phase.SUSPECTED) {
                update(now, site, s -> s.tick(now));
            }
        }
    }

    /** Whether the own site answers while none of the others does, given at least two others. */
    public boolean ownSiteIsolated(long now) {
        long others = states.keySet().stream().filter(s -> !s.equals(ownSite)).count();
        return others >= 2 && reachable(now, ownSite) && states.keySet().stream().noneMatch(s -> !s.equals(ownSite) && reachable(now, s));
    }

    private boolean reachable(long now, String site) {
        Long at = lastAnswers.get(site);
        return at != null && now - at < silence;
    }

    public SiteState state(String site) {
        return states.get(site);
    }

    /** Whether any site is lost or held down. */
    public boolean anyDown() {
        return states.values().stream().anyMatch(SiteState::isDown);
    }

    /** Returns and clears the changes since the last call, in order; the latest 100 at most. */
    public List<PhaseChange> takeChanges() {
        List<PhaseChange> taken = List.copyOf(pendingChanges);
        pendingChanges.clear();
        return taken;
    }

    private interface Transition {
        void apply(SiteState state);
    }

    private void update(long now, String site, Transition transition) {
        SiteState state = states.get(site);
        if (state == null) {
            return;
        }
        Phase before = state.phase();
        transition.apply(state);
        if (state.phase() != before) {
            if (pendingChanges.size() == MAX_PENDING_CHANGES) {
                pendingChanges.remove(0);
            }
            pendingChanges.add(new PhaseChange(now, site, before, state.phase(), ownSiteIsolated(now)));
        }
    }
}
