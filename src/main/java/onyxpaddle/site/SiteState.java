package onyxpaddle.site;

import java.util.LinkedHashSet;
import java.util.Set;

/**
 * The state of one site as one node sees it, from that node's own attempts and server lists alone. Decides the share of the site's usual
 * load that the node may send there. Does no I/O; callers pass the time in nanoseconds, which must not go back.
 *
 * <p>A site is lost when several of its servers can't be reached and none answers. One bad server is not enough, and neither is an error
 * response, which shows that the server is up. A lost site gets a small share of the requests that are safe to send again, so that its
 * return is noticed, as there are no probes. It returns in steps of increasing share, each held until there is enough evidence, and goes
 * back one step when it fails or the survivors degrade. A site that is lost repeatedly is held down by a penalty that decays with time (RFC
 * 2439).
 */
public class SiteState {
    /** The share of the requests that are safe to send again which a lost site gets. */
    public static final double TRICKLE = 0.01;
    private static final int MAX_FAILED_SERVERS = 64;

    /** The phases of a site. */
    public enum Phase {
        SOUND,
        /** No server answers; the site still gets its load, as most such episodes pass. */
        SUSPECTED, LOST,
        /** It gets the share of the current step. */
        RETURNING,
        /** Treated like LOST, because it has been lost too often. */
        HELD_DOWN
    }

    /** What operators have ordered for a site. */
    public enum OperatorOverride { NONE, HOLD, RELEASE }

    private final SiteRules rules;
    private final Set<String> failedServers = new LinkedHashSet<>();
    private Phase phase = Phase.SOUND;
    private OperatorOverride operatorOverride = OperatorOverride.NONE;
    private int readyServers;
    private int step;
    private long phaseStart;
    private int answers;
    private int failures;
    private double penalty;
    private long penaltyUpdatedAt;

    public SiteState(SiteRules rules) {
        this.rules = rules;
    }

    // ---- events ----

    /** The server lists changed. A site with no ready server is lost without further evidence. */
    public final void listed(long now, int ready) {
        readyServers = ready;
        if (ready == 0 && phase != Phase.LOST && phase != Phase.HELD_DOWN) {
            lose(now);
        }
        tick(now);
    }

    /** A server of the site answered, with success or an error. */
    public final void answered(long now, String server) {
        failedServers.clear();
        answers++;
        if (phase == Phase.SUSPECTED) {
            enter(Phase.SOUND, now);
        }
        tick(now);
    }

    /** A server could not be connected to or did not answer in time. {@code ownSiteIsolated}: see {@link SiteMonitor}. */
    public final void unreachable(long now, String server, boolean ownSiteIsolated) {
        if (failedServers.size() < MAX_FAILED_SERVERS) {
            failedServers.add(server);
        }
        failures++;
        if (phase == Phase.SOUND && enoughServersFailed()) {
            enter(Phase.SUSPECTED, now);
        }
        if (ownSiteIsolated && phase == Phase.SUSPECTED) {
            // This node's own site is cut off, so the failure says nothing about the other site.
            phaseStart = now;
        }
        tick(now);
    }

    /** This node sees the survivors degrade since the last step. */
    public final void survivorsDegraded(long now) {
        tick(now);
        if (phase == Phase.RETURNING) {
            stepBack(now);
        }
    }

    /**
     * Applies an operator override. HOLD sends no requests until operators change it, after which the site returns in steps like a lost
     * one. RELEASE clears the penalty and lets the site return at once.
     */
    public final void override(long now, OperatorOverride ordered) {
        operatorOverride = ordered;
        if (ordered == OperatorOverride.HOLD) {
            enter(Phase.LOST, now);
        }
        if (ordered == OperatorOverride.RELEASE) {
            penalty = 0;
            if (phase == Phase.LOST || phase == Phase.HELD_DOWN) {
                step = 0;
                enter(Phase.RETURNING, now);
            }
        }
        tick(now);
    }

    /** Makes the transitions that are due at this time. */
    public final void tick(long now) {
        if (operatorOverride == OperatorOverride.HOLD) {
            return;
        }
        switch (phase) {
            case SUSPECTED -> {
                if (now - phaseStart >= rules.confirm()) {
                    lose(now);
                }
            }
            case LOST -> {
                if (readyServers > 0 && answers > 0 && suppressed(now)) {
                    enter(Phase.HELD_DOWN, now);
                } else if (readyServers > 0 && answers > 0) {
                    step = 0;
                    enter(Phase.RETURNING, now);
                }
            }
            case HELD_DOWN -> {
                if (penalty(now) < rules.reuse()) {
                    enter(Phase.LOST, now);
                }
            }
            case RETURNING -> advanceReturn(now);
            case SOUND -> { }
        }
    }

    // ---- decisions ----

    public final Phase phase() {
        return phase;
    }

    /** Whether the site is lost or held down. */
    public final boolean isDown() {
        return phase == Phase.LOST || phase == Phase.HELD_DOWN;
    }

    /** Whether operators hold the site. */
    public final boolean held() {
        return operatorOverride == OperatorOverride.HOLD;
    }

    /**
     * The share of its usual load that may be sent to the site, 0 to 1. A site that gets only {@link #TRICKLE} gets no requests that are
     * not safe to send again.
     */
    public final double share() {
        if (operatorOverride == OperatorOverride.HOLD) {
            return 0;
        }
        return switch (phase) {
            case SOUND, SUSPECTED -> 1;
            case LOST, HELD_DOWN -> TRICKLE;
            case RETURNING -> rules.steps().get(step);
        };
    }

    /** The accumulated penalty of past losses, decayed to this time. */
    public final double penalty(long now) {
        return penalty * Math.pow(0.5, (double) (now - penaltyUpdatedAt) / rules.halfLife());
    }

    // ---- conditions that the state exploration in the tests overrides with faulty ones ----

    /** Whether enough servers have failed to suspect the whole site. */
    boolean enoughServersFailed() {
        return failedServers.size() >= Math.min(rules.servers(), Math.max(1, readyServers));
    }

    /** Whether the site has been lost too often to return now. */
    boolean suppressed(long now) {
        return penalty(now) >= rules.suppress();
    }

    /** Whether the current step has lasted long enough and seen enough answers. */
    boolean stepCompleted(long now) {
        return now - phaseStart >= rules.hold() && answers >= rules.answers();
    }

    // ---- transitions ----

    private void advanceReturn(long now) {
        if (answers + failures >= rules.answers() && failures >= rules.maxFailureShare() * (answers + failures)
                || answers == 0 && enoughServersFailed()) {
            stepBack(now);
        } else if (stepCompleted(now)) {
            if (step + 1 == rules.steps().size()) {
                enter(Phase.SOUND, now);
            } else {
                step++;
                enter(Phase.RETURNING, now);
            }
        }
    }

    private void stepBack(long now) {
        if (step == 0) {
            lose(now);
        } else {
            step--;
            enter(Phase.RETURNING, now);
        }
    }

    private void lose(long now) {
        penalty = penalty(now) + rules.penalty();
        penaltyUpdatedAt = now;
        enter(Phase.LOST, now);
    }

    /** Enters a phase or step; evidence is counted from here on. */
    private void enter(Phase next, long now) {
        phase = next;
        phaseStart = now;
        answers = 0;
        failures = 0;
        if (next != Phase.SUSPECTED) {
            failedServers.clear();
        }
    }

    /** Everything that later decisions depend on, times relative to {@code now}: states with equal keys behave the same. */
    final String key(long now) {
        return phase + " " + operatorOverride + " " + readyServers + " " + step + " "
            + Math.min(now - phaseStart, 2 * Math.max(rules.hold(), rules.confirm())) + " " + failedServers.size() + " "
            + Math.min(answers, rules.answers()) + " " + Math.min(failures, rules.answers()) + " " + Math.round(penalty(now) / 10);
    }
}
