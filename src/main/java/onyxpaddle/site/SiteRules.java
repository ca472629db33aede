package onyxpaddle.site;

import java.util.List;

/**
 * When a site counts as suspected, lost and back. Spans in nanoseconds.
 *
 * @param servers how many of a site's servers must have failed, none of them answered since, for the site to be suspected; of a site with
 *     fewer, all
 * @param confirm how long a site stays suspected before it is lost
 * @param steps the shares of its load that a site that returns gets one after the other, the last one 1
 * @param hold how long a step is held at the least
 * @param answers how many answers a step needs before the next
 * @param maxFailureShare the share of failures at which a step goes back
 * @param penalty what each loss adds to a site's penalty (RFC 2439, 4.2)
 * @param suppress the penalty from which a site is held down
 * @param reuse the penalty below which it may return
 * @param halfLife the time in which a penalty loses half of its height
 */
public record SiteRules(int servers, long confirm, List<Double> steps, long hold, int answers, double maxFailureShare, double penalty,
        double suppress, double reuse, long halfLife) {
    /** The usual ones. */
    public static final SiteRules USUAL = new SiteRules(3, 500_000_000L, List.of(0.1, 0.25, 0.5, 1.0), 2_000_000_000L, 20, 0.2, 1_000, 2_500, 750, 15_000_000_000L);

    /** Refuses what would make a site never lost, or never back. */
    public SiteRules {
        steps = List.copyOf(steps);
        require(servers >= 1, "servers: at least 1");
        require(confirm >= 0 && hold >= 0, "confirm, hold: no negative span");
        require(!steps.isEmpty() && steps.get(steps.size() - 1) == 1.0, "steps: the last one is 1");
        for (int i = 0; i < steps.size(); i++) {
            require(steps.get(i) > (i == 0 ? 0 : steps.get(i - 1)), "steps: each above the one before, the first above 0");
        }
        require(answers >= 1, "answers: at least 1");
        require(maxFailureShare > 0 && maxFailureShare < 1, "mostFailing: between 0 and 1");
        require(penalty > 0 && reuse > 0 && suppress > reuse, "penalty, reuse: above 0; suppress: above reuse");
        require(halfLife > 0, "halfLife: above 0");
    }

    private static void require(boolean holds, String what) {
        if (!holds) {
            throw new IllegalArgumentException(what);
        }
    }
}
