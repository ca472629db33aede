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
import onyxpaddle.site.SiteState.Phase;
import onyxpaddle.site.SiteState.Word;
import org.junit.jupiter.api.Test;

/** Every order of what can happen to a site, up to a depth, against promises that are counted beside the state machine, not by it. */
class SiteStateTest {
    private static final long UNIT = 1_000;
    private static final SiteRules RULES = new SiteRules(2, 2 * UNIT, List.of(0.25, 1.0), 4 * UNIT, 2, 0.5, 1_000, 1_500, 750, 16 * UNIT);
    private static final int DEPTH = 9;

    private enum Happens { ANSWER, FAIL_1, FAIL_2, FAIL_1_CUT, FAIL_2_CUT, LIST_NONE, LIST_3, WAIT, WAIT_LONG, WORSEN, HOLD, RELEASE, NO_WORD }

    /** A site, and beside it what the promises rest on. */
    private static final class Run {
        final SiteState site;
        final List<String> broken = new ArrayList<>();
        long now = 1_000_000;
        long shareSince = now;
        int answersSince;
        final Set<Integer> failedSinceAnswer = new HashSet<>();
        boolean onlyCut = true;
        double penalty;
        long penaltyAt = now;
        Word word = Word.NONE;

        Run(SiteState site) {
            this.site = site;
            site.listed(now, 3);
        }

        void step(Happens what) {
            Phase before = site.phase();
            double shareBefore = RULES.steps().contains(site.share()) ? site.share() : before == Phase.SOUND ? 1 : 0;
            now += what == Happens.WAIT ? UNIT : what == Happens.WAIT_LONG ? 4 * UNIT : 0;
            switch (what) {
                case ANSWER -> {
                    answersSince++;
                    failedSinceAnswer.clear();
                    onlyCut = true;
                    site.answered(now, "s1");
                }
                case FAIL_1, FAIL_2, FAIL_1_CUT, FAIL_2_CUT -> {
                    boolean cut = what == Happens.FAIL_1_CUT || what == Happens.FAIL_2_CUT;
                    int server = what == Happens.FAIL_1 || what == Happens.FAIL_1_CUT ? 1 : 2;
                    failedSinceAnswer.add(server);
                    onlyCut &= cut;
                    site.unreachable(now, "s" + server, cut);
                }
                case LIST_NONE -> site.listed(now, 0);
                case LIST_3 -> site.listed(now, 3);
                case WAIT, WAIT_LONG -> site.tick(now);
                case WORSEN -> site.survivorsWorsen(now);
                case HOLD, RELEASE, NO_WORD -> {
                    word = what == Happens.HOLD ? Word.HOLD : what == Happens.RELEASE ? Word.RELEASE : Word.NONE;
                    penalty = word == Word.RELEASE ? 0 : penalty;
                    site.operators(now, word);
                }
            }
            promises(what, before, shareBefore);
        }

        private void promises(Happens what, Phase before, double shareBefore) {
            Phase after = site.phase();
            boolean lost = after == Phase.LOST && before != Phase.LOST && before != Phase.HELD_DOWN && what != Happens.HOLD;
            if (lost && what != Happens.LIST_NONE && before == Phase.SUSPECTED && failedSinceAnswer.size() < 2) {
                broken.add("lost by one server");
            }
            if (lost && before == Phase.SOUND && what != Happens.LIST_NONE) {
                broken.add("lost without having been suspected");
            }
            if (lost && before == Phase.SUSPECTED && (what == Happens.FAIL_1_CUT || what == Happens.FAIL_2_CUT)) {
                broken.add("lost as the own site was cut off");
            }
            double decayed = penalty * Math.pow(0.5, (double) (now - penaltyAt) / RULES.halfLife());
            if (lost) {
                penalty = decayed + 1_000;
                penaltyAt = now;
            } else if (after == Phase.RETURNING && before == Phase.LOST && what != Happens.RELEASE && decayed >= RULES.suppress()) {
                broken.add("back in spite of its penalty");
            }
            if (word == Word.HOLD && site.share() != 0) {
                broken.add("not held");
            }
            double share = word == Word.HOLD ? shareBefore : site.share();
            boolean up = before == Phase.RETURNING && (after == Phase.SOUND || after == Phase.RETURNING && share > shareBefore);
            if (up && (now - shareSince < RULES.hold() || answersSince < RULES.answers())) {
                broken.add("a step too soon");
            }
            if ((before == Phase.LOST || before == Phase.HELD_DOWN) && after == Phase.RETURNING && word != Word.HOLD && share != 0.25) {
                broken.add("back at " + share);
            }
            if (before != after || share != shareBefore) {
                shareSince = now;
                answersSince = 0;
            }
        }

        /** All is well from now on: how many rounds until the site is sound. */
        int rounds() {
            step(Happens.NO_WORD);
            step(Happens.LIST_3);
            int rounds = 0;
            while (site.phase() != Phase.SOUND && rounds < 100) {
                step(Happens.ANSWER);
                step(Happens.ANSWER);
                step(Happens.WAIT_LONG);
                rounds++;
            }
            return rounds;
        }
    }

    private record Explored(int states, long moves, Set<String> broken, int mostRounds) {
    }

    private static Run replay(Supplier<SiteState> site, List<Happens> path) {
        Run run = new Run(site.get());
        path.forEach(run::step);
        return run;
    }

    private static Explored explore(Supplier<SiteState> site, int depth) {
        Set<String> seen = new HashSet<>();
        ArrayDeque<List<Happens>> open = new ArrayDeque<>();
        open.add(List.of());
        Set<String> broken = new HashSet<>();
        long moves = 0;
        int most = 0;
        while (!open.isEmpty()) {
            List<Happens> path = open.poll();
            for (Happens next : Happens.values()) {
                List<Happens> longer = new ArrayList<>(path);
                longer.add(next);
                Run run = replay(site, longer);
                moves++;
                run.broken.forEach(b -> broken.add(b + " by " + longer));
                String key = run.site.key(run.now) + " " + Math.min(run.now - run.shareSince, 8 * UNIT) + " " + Math.min(run.answersSince, 2) + " "
                    + run.failedSinceAnswer + " " + run.word;
                if (seen.add(key)) {
                    most = Math.max(most, run.rounds());
                    if (longer.size() < depth) {
                        open.add(longer);
                    }
                }
            }
            if (broken.size() > 20) {
                break;
            }
        }
        return new Explored(seen.size(), moves, broken, most);
    }

    @Test
    void everyOrderOfEventsKeepsThePromises() {
        Explored all = explore(() -> new SiteState(RULES), DEPTH);
        assertEquals(Set.of(), all.broken());
        assertTrue(all.states() > 1_000, "explored " + all);
        // Held down for as long as three losses take to decay (some 2.2 half-lives of 4 rounds each), and then two steps.
        assertTrue(all.mostRounds() <= 16, "a site for which all is well is sound after " + all.mostRounds() + " rounds at most");
        System.out.println("explored " + all.states() + " states by " + all.moves() + " moves to depth " + DEPTH + "; sound after " + all.mostRounds() + " rounds");
    }

    @Test
    void itFindsASiteThatIsSuspectedForOneServer() {
        assertFound("lost by one server", () -> new SiteState(RULES) {
            @Override
            boolean suspect() {
                return true;
            }
        });
    }

    @Test
    void itFindsAStepThatIsNotHeld() {
        assertFound("a step too soon", () -> new SiteState(RULES) {
            @Override
            boolean enough(long now) {
                return true;
            }
        });
    }

    @Test
    void itFindsAFlapThatIsNotDamped() {
        assertFound("back in spite of its penalty", () -> new SiteState(RULES) {
            @Override
            boolean suppressed(long now) {
                return false;
            }
        });
    }

    private static void assertFound(String fault, Supplier<SiteState> site) {
        Explored found = explore(site, DEPTH);
        assertTrue(found.broken().stream().anyMatch(b -> b.startsWith(fault)), found.toString());
    }

    @Test
    void rulesThatMakeNoSense() {
        assertThrows(IllegalArgumentException.class, () -> new SiteRules(0, 1, List.of(1.0), 1, 1, 0.5, 1, 2, 1, 1));
        assertThrows(IllegalArgumentException.class, () -> new SiteRules(1, 1, List.of(0.5), 1, 1, 0.5, 1, 2, 1, 1));
        assertThrows(IllegalArgumentException.class, () -> new SiteRules(1, 1, List.of(0.5, 0.4, 1.0), 1, 1, 0.5, 1, 2, 1, 1));
        assertThrows(IllegalArgumentException.class, () -> new SiteRules(1, 1, List.of(1.0), 1, 1, 0.5, 1, 1, 1, 1));
    }
}
