package onyxpaddle.site;

import java.util.LinkedHashSet;
import java.util.Set;

/**
 * How one site stands with one node, by that node's own attempts and its lists alone. What it decides is the share of the site's usual
 * load that the node may send there. Time is handed in, in nanoseconds, and never goes back; does no I/O.
 *
 * <p>A site is lost when several of its servers can't be reached and none answers; one bad server is not enough, and neither is an
 * error that a server words, which shows that it is there. While it is lost it gets a trickle of what may be sent again, by
 * which its return is noticed, as there are no probes. It returns by steps, each held until there is evidence enough,
 * and goes a step back when it fails or the survivors worsen. A site that is lost again and again is held down by a penalty
 * that decays with time (RFC 2439).
 */
public class SiteState {
    /** Share of what may be sent again that goes to a lost site. */
    public static final double TRICKLE = 0.01;
    private static final int MOST_REMEMBERED = 64;

    /** What a site can be. */
    public enum Phase {
        SOUND,
        /** Nothing of it answers; it still gets its load, as most of this passes. */
        SUSPECTED, LOST,
        /** It gets a step's share. */
        RETURNING,
        /** As LOST, for having been lost too often. */
        HELD_DOWN
    }

    /** What operators have said. */
    public enum Word { NONE, HOLD, RELEASE }

    private final SiteRules rules;
    private final Set<String> failing = new LinkedHashSet<>();
    private Phase phase = Phase.SOUND;
    private Word word = Word.NONE;
    private int listed;
    private int step;
    private long since;
    private int answers;
    private int failures;
    private double penalty;
    private long penaltyAt;

    public SiteState(SiteRules rules) {
        this.rules = rules;
    }

    // ---- what happens ----

    /** The lists now name so many of its servers as ready; a site of which none is ready is lost without further evidence. */
    public final void listed(long now, int ready) {
        listed = ready;
        if (ready == 0 && phase != Phase.LOST && phase != Phase.HELD_DOWN) {
            lose(now);
        }
        tick(now);
    }

    /** A server of it answered, well or not. */
    public final void answered(long now, String server) {
        failing.clear();
        answers++;
        if (phase == Phase.SUSPECTED) {
            go(Phase.SOUND, now);
        }
        tick(now);
    }

    /** No connection to a server came up, or it said nothing in time. {@code ownSiteCut}: see {@link SiteMonitor}. */
    public final void unreachable(long now, String server, boolean ownSiteCut) {
        if (failing.size() < MOST_REMEMBERED) {
            failing.add(server);
        }
        failures++;
        if (phase == Phase.SOUND && suspect()) {
            go(Phase.SUSPECTED, now);
        }
        if (ownSiteCut && phase == Phase.SUSPECTED) {
            // It is this site that is cut off; of the other one nothing is known.
            since = now;
        }
        tick(now);
    }

    /** The survivors got worse since the last step, by what this node sees of them. */
    public final void survivorsWorsen(long now) {
        tick(now);
        if (phase == Phase.RETURNING) {
            back(now);
        }
    }

    /**
     * Operators override: HOLD sends nothing until they say otherwise, and what was held returns by steps as what was lost; RELEASE
     * forgets the penalty and lets it return now.
     */
    public final void operators(long now, Word said) {
        word = said;
        if (said == Word.HOLD) {
            go(Phase.LOST, now);
        }
        if (said == Word.RELEASE) {
            penalty = 0;
            if (phase == Phase.LOST || phase == Phase.HELD_DOWN) {
                step = 0;
                go(Phase.RETURNING, now);
            }
        }
        tick(now);
    }

    /** Time passes. */
    public final void tick(long now) {
        if (word == Word.HOLD) {
            return;
        }
        switch (phase) {
            case SUSPECTED -> {
                if (now - since >= rules.confirm()) {
                    lose(now);
                }
            }
            case LOST -> {
                if (listed > 0 && answers > 0 && suppressed(now)) {
                    go(Phase.HELD_DOWN, now);
                } else if (listed > 0 && answers > 0) {
                    step = 0;
                    go(Phase.RETURNING, now);
                }
            }
            case HELD_DOWN -> {
                if (penalty(now) < rules.reuse()) {
                    go(Phase.LOST, now);
                }
            }
            case RETURNING -> climb(now);
            case SOUND -> { }
        }
    }

    // ---- what is decided ----

    public final Phase phase() {
        return phase;
    }

    /** Whether it gets a trickle at the most. */
    public final boolean gone() {
        return phase == Phase.LOST || phase == Phase.HELD_DOWN;
    }

    /** Whether operators hold it. */
    public final boolean held() {
        return word == Word.HOLD;
    }

    /** The share of its usual load that may be sent there, 0 to 1; of what may not be sent again nothing goes to a site that gets only the trickle. */
    public final double share() {
        if (word == Word.HOLD) {
            return 0;
        }
        return switch (phase) {
            case SOUND, SUSPECTED -> 1;
            case LOST, HELD_DOWN -> TRICKLE;
            case RETURNING -> rules.steps().get(step);
        };
    }

    /** What losses have added up to by now. */
    public final double penalty(long now) {
        return penalty * Math.pow(0.5, (double) (now - penaltyAt) / rules.halfLife());
    }

    // ---- parts that the exploration of its states replaces by faulty ones ----

    /** Whether what failed speaks for the whole site. */
    boolean suspect() {
        return failing.size() >= Math.min(rules.servers(), Math.max(1, listed));
    }

    /** Whether the site has been lost too often to return now. */
    boolean suppressed(long now) {
        return penalty(now) >= rules.suppress();
    }

    /** Whether a step may be followed by the next. */
    boolean enough(long now) {
        return now - since >= rules.hold() && answers >= rules.answers();
    }

    // ---- moves ----

    private void climb(long now) {
        if (answers + failures >= rules.answers() && failures >= rules.maxFailureShare() * (answers + failures) || answers == 0 && suspect()) {
            back(now);
        } else if (enough(now)) {
            if (step + 1 == rules.steps().size()) {
                go(Phase.SOUND, now);
            } else {
                step++;
                go(Phase.RETURNING, now);
            }
        }
    }

    private void back(long now) {
        if (step == 0) {
            lose(now);
        } else {
            step--;
            go(Phase.RETURNING, now);
        }
    }

    private void lose(long now) {
        penalty = penalty(now) + rules.penalty();
        penaltyAt = now;
        go(Phase.LOST, now);
    }

    /** Evidence counts from the beginning of a phase or step. */
    private void go(Phase next, long now) {
        phase = next;
        since = now;
        answers = 0;
        failures = 0;
        if (next != Phase.SUSPECTED) {
            failing.clear();
        }
    }

    /** All that its further decisions rest on, times as spans up to {@code now}: equal ones go on alike. */
    final String key(long now) {
        return phase + " " + word + " " + listed + " " + step + " " + Math.min(now - since, 2 * Math.max(rules.hold(), rules.confirm())) + " " + failing.size() + " "
            + Math.min(answers, rules.answers()) + " " + Math.min(failures, rules.answers()) + " " + Math.round(penalty(now) / 10);
    }
}
