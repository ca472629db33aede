package onyxpaddle.site;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Supplier;
import onyxpaddle.site.SiteState.OperatorOverride;
import onyxpaddle.site.SiteState.Phase;
import org.junit.jupiter.api.Test;

/**
 * Explores every order of events up to a depth and checks invariants of the state machine against a model kept outside it. Further tests
 * break one condition of the state machine each and check that the exploration finds the fault.
 */
class SiteStateTest {
    private static final long UNIT = 1_000;
    private static final SiteRules RULES = new SiteRules(2, 2 * UNIT, List.of(0.25, 1.0), 4 * UNIT, 2, 0.5, 1_000, 1_500, 750, 16 * UNIT);
    private static final int DEPTH = 9;

    private enum Event {
        ANSWER, FAIL_1, FAIL_2, FAIL_1_ISOLATED, FAIL_2_ISOLATED, LIST_NONE, LIST_3, WAIT, WAIT_LONG, DEGRADE, HOLD, RELEASE, NO_OVERRIDE
    }

    /** A site, and the model that the invariants are checked against. */
    private static final class Run {
        final SiteState site;
        final List<String> violations = new ArrayList<>();
        long now = 1_000_000;
        long shareSince = now;
        int answersSince;
        final Set<Integer> failedSinceAnswer = new HashSet<>();
        boolean onlyIsolated = true;
        double penalty;
        long penaltyUpdatedAt = now;
        OperatorOverride ordered = OperatorOverride.NONE;

        Run(SiteState site) {
            this.site = site;
            site.listed(now, 3);
        }

        void step(Event event) {
            Phase before = site.phase();
            double shareBefore = RULES.steps().contains(site.share()) ? site.share() : before == Phase.SOUND ? 1 : 0;
            now += event == Event.WAIT ? UNIT : event == Event.WAIT_LONG ? 4 * UNIT : 0;
            switch (event) {
                case ANSWER -> {
                    answersSince++;
                    failedSinceAnswer.clear();
                    onlyIsolated = true;
                    site.answered(now, "s1");
                }
                case FAIL_1, FAIL_2, FAIL_1_ISOLATED, FAIL_2_ISOLATED -> {
                    boolean isolated = event == Event.FAIL_1_ISOLATED || event == Event.FAIL_2_ISOLATED;
                    int server = event == Event.FAIL_1 || event == Event.FAIL_1_ISOLATED ? 1 : 2;
                    failedSinceAnswer.add(server);
                    onlyIsolated &= isolated;
                    site.unreachable(now, "s" + server, isolated);
                }
                case LIST_NONE -> site.listed(now, 0);
                case LIST_3 -> site.listed(now, 3);
                case WAIT, WAIT_LONG -> site.tick(now);
                case DEGRADE -> site.survivorsDegraded(now);
                case HOLD, RELEASE, NO_OVERRIDE -> {
                    ordered = event == Event.HOLD ? OperatorOverride.HOLD
                        : event == Event.RELEASE ? OperatorOverride.RELEASE : OperatorOverride.NONE;
                    penalty = ordered == OperatorOverride.RELEASE ? 0 : penalty;
                    site.override(now, ordered);
                }
            }
            checkInvariants(event, before, shareBefore);
        }

        private void checkInvariants(Event event, Phase before, double shareBefore) {
            Phase after = site.phase();
            boolean lost = after == Phase.LOST && before != Phase.LOST && before != Phase.HELD_DOWN && event != Event.HOLD;
            if (lost && event != Event.LIST_NONE && before == Phase.SUSPECTED && failedSinceAnswer.size() < 2) {
                violations.add("lost because of one server");
            }
            if (lost && before == Phase.SOUND && event != Event.LIST_NONE) {
                violations.add("lost without being suspected first");
            }
            if (lost && before == Phase.SUSPECTED && (event == Event.FAIL_1_ISOLATED || event == Event.FAIL_2_ISOLATED)) {
                violations.add("lost while the own site was isolated");
            }
            double decayed = penalty * Math.pow(0.5, (double) (now - penaltyUpdatedAt) / RULES.halfLife());
            if (lost) {
                penalty = decayed + 1_000;
                penaltyUpdatedAt = now;
            } else if (after == Phase.RETURNING && before == Phase.LOST && event != Event.RELEASE && decayed >= RULES.suppress()) {
                violations.add("returning in spite of its penalty");
            }
            if (ordered == OperatorOverride.HOLD && site.share() != 0) {
                violations.add("a held site gets load");
            }
            double share = ordered == OperatorOverride.HOLD ? shareBefore : site.share();
            boolean up = before == Phase.RETURNING && (after == Phase.SOUND || after == Phase.RETURNING && share > shareBefore);
            if (up && (now - shareSince < RULES.hold() || answersSince < RULES.answers())) {
                violations.add("next step too soon");
            }
            if ((before == Phase.LOST || before == Phase.HELD_DOWN) && after == Phase.RETURNING && ordered != OperatorOverride.HOLD
                    && share != 0.25) {
                violations.add("returning at a share of " + share);
            }
            if (before != after || share != shareBefore) {
                shareSince = now;
                answersSince = 0;
            }
        }

        /** Counts the rounds until the site is sound when every call succeeds from now on. */
        int roundsToRecover() {
            step(Event.NO_OVERRIDE);
            step(Event.LIST_3);
            int rounds = 0;
            while (site.phase() != Phase.SOUND && rounds < 100) {
                step(Event.ANSWER);
                step(Event.ANSWER);
                step(Event.WAIT_LONG);
                rounds++;
            }
            return rounds;
        }
    }

    private record Exploration(int states, long moves, Set<String> violations, int maxRounds) {
    }

    private static Run replay(Supplier<SiteState> site, List<Event> path) {
        Run run = new Run(site.get());
        path.forEach(run::step);
        return run;
    }

    private static Exploration explore(Supplier<SiteState> site, int depth) {
        Set<String> seen = new HashSet<>();
        ArrayDeque<List<Event>> open = new ArrayDeque<>();
        open.add(List.of());
        Set<String> violations = new HashSet<>();
        long moves = 0;
        int maxRounds = 0;
        while (!open.isEmpty()) {
            List<Event> path = open.poll();
            for (Event next : Event.values()) {
                List<Event> longer = new ArrayList<>(path);
                longer.add(next);
                Run run = replay(site, longer);
                moves++;
                run.violations.forEach(v -> violations.add(v + " by " + longer));
                String key = run.site.key(run.now) + " " + Math.min(run.now - run.shareSince, 8 * UNIT) + " "
                    + Math.min(run.answersSince, 2) + " " + run.failedSinceAnswer + " " + run.ordered;
                if (seen.add(key)) {
                    maxRounds = Math.max(maxRounds, run.roundsToRecover());
                    if (longer.size() < depth) {
                        open.add(longer);
                    }
                }
            }
            if (violations.size() > 20) {
                break;
            }
        }
        return new Exploration(seen.size(), moves, violations, maxRounds);
    }

    @Test
    void everyOrderOfEventsKeepsTheInvariants() {
        Exploration all = explore(() -> new SiteState(RULES), DEPTH);
        assertEquals(Set.of(), all.violations());
        assertTrue(all.states() > 1_000, "explored " + all);
        // The hold-down lasts until the penalty of three losses has decayed (about 2.2 half-lives of 4 rounds each); two steps follow.
        assertTrue(all.maxRounds() <= 16, "a site whose calls all succeed is sound after " + all.maxRounds() + " rounds at most");
        System.out.println("explored " + all.states() + " states by " + all.moves() + " moves to depth " + DEPTH + "; sound after "
            + all.maxRounds() + " rounds");
    }

    @Test
    void findsSuspicionBecauseOfOneServer() {
        assertFound("lost because of one server", () -> new SiteState(RULES) {
            @Override
            boolean enoughServersFailed() {
                return true;
            }
        });
    }

    @Test
    void findsStepsThatAreTooShort() {
        assertFound("next step too soon", () -> new SiteState(RULES) {
            @Override
            boolean stepCompleted(long now) {
                return true;
            }
        });
    }

    @Test
    void findsMissingFlapDamping() {
        assertFound("returning in spite of its penalty", () -> new SiteState(RULES) {
            @Override
            boolean suppressed(long now) {
                return false;
            }
        });
    }

    private static void assertFound(String fault, Supplier<SiteState> site) {
        Exploration found = explore(site, DEPTH);
        assertTrue(found.violations().stream().anyMatch(v -> v.startsWith(fault)), found.toString());
    }

    @Test
    void rejectsInvalidRules() {
        assertThrows(IllegalArgumentException.class, () -> new SiteRules(0, 1, List.of(1.0), 1, 1, 0.5, 1, 2, 1, 1));
        assertThrows(IllegalArgumentException.class, () -> new SiteRules(1, 1, List.of(0.5), 1, 1, 0.5, 1, 2, 1, 1));
        assertThrows(IllegalArgumentException.class, () -> new SiteRules(1, 1, List.of(0.5, 0.4, 1.0), 1, 1, 0.5, 1, 2, 1, 1));
        assertThrows(IllegalArgumentException.class, () -> new SiteRules(1, 1, List.of(1.0), 1, 1, 0.5, 1, 1, 1, 1));
    }
}
