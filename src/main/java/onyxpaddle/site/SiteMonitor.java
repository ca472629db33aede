package onyxpaddle.site;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import onyxpaddle.site.SiteState.Phase;
import onyxpaddle.site.SiteState.Word;

/**
 * All sites as one node sees them. Tells the loss of another site from that of its own links: where no other site answers and the own one does,
 * it is the own site that is cut off, and none of the others is held to be lost. With two sites these look alike from within; then the other
 * counts as lost, as its load can't be reached either way. Does no I/O.
 */
public final class SiteMonitor {
    /** A change of a site's phase, for a line of the log. */
    public record Change(long at, String site, Phase from, Phase to, boolean ownSiteCut) {
    }

    /** Changes that nobody has asked for yet; the oldest go first. */
    private static final int MOST_CHANGES = 100;

    private final String own;
    private final Map<String, SiteState> states = new TreeMap<>();
    private final Map<String, Long> heard = new TreeMap<>();
    private final long silence;
    private final List<Change> changes = new ArrayList<>();

    /** {@code own}: the node's site; {@code silence}: how long, in nanoseconds, an answer shows that a site is reached. */
    public SiteMonitor(String own, List<String> names, SiteRules rules, long silence) {
        this.own = own;
        this.silence = silence;
        names.forEach(name -> states.put(name, new SiteState(rules)));
        if (!states.containsKey(own)) {
            throw new IllegalArgumentException("own site " + own + " is none of " + names);
        }
    }

    /** The lists' word: see {@link SiteState#listed}. */
    public void listed(long now, String site, int ready) {
        change(now, site, s -> s.listed(now, ready));
    }

    /** A server of the site answered. */
    public void answered(long now, String site, String server) {
        if (states.containsKey(site)) {
            heard.put(site, now);
        }
        change(now, site, s -> s.answered(now, server));
    }

    /** A server of the site could not be reached. */
    public void unreachable(long now, String site, String server) {
        boolean cut = ownSiteCut(now);
        change(now, site, s -> s.unreachable(now, server, cut && !site.equals(own)));
    }

    /** What operators have said of a site. */
    public void operators(long now, String site, Word word) {
        change(now, site, s -> s.operators(now, word));
    }

    /** Time passes: a site that is suspected while the own one is cut off stays so. */
    public void tick(long now) {
        boolean cut = ownSiteCut(now);
        for (String site : states.keySet()) {
            if (!cut || site.equals(own) || state(site).phase() != Phase.SUSPECTED) {
                change(now, site, s -> s.tick(now));
            }
        }
    }

    /** Whether the own site answers, and of two or more others none does, though calls went to them. */
    public boolean ownSiteCut(long now) {
        long others = states.keySet().stream().filter(s -> !s.equals(own)).count();
        return others >= 2 && reached(now, own) && states.keySet().stream().noneMatch(s -> !s.equals(own) && reached(now, s));
    }

    private boolean reached(long now, String site) {
        Long at = heard.get(site);
        return at != null && now - at < silence;
    }

    /** How a site stands. */
    public SiteState state(String site) {
        return states.get(site);
    }

    /** Whether any site is lost or held down. */
    public boolean anyGone() {
        return states.values().stream().anyMatch(SiteState::gone);
    }

    /** What has changed since this was last asked, in order; the last hundred at most. */
    public List<Change> changes() {
        List<Change> told = List.copyOf(changes);
        changes.clear();
        return told;
    }

    private interface Step {
        void of(SiteState state);
    }

    private void change(long now, String site, Step step) {
        SiteState state = states.get(site);
        if (state == null) {
            return;
        }
        Phase before = state.phase();
        step.of(state);
        if (state.phase() != before) {
            if (changes.size() == MOST_CHANGES) {
                changes.remove(0);
            }
            changes.add(new Change(now, site, before, state.phase(), ownSiteCut(now)));
        }
    }
}
