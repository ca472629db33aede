package onyxpaddle.site;

import java.util.List;

/**
 * The thresholds by which a site counts as suspected, lost and recovered. Durations in nanoseconds.
 *
 * @param servers how many of a site's servers must have failed, with no answer from any of them since, before the site is suspected; all of
 *     them for a site with fewer servers
 * @param confirm how long a site stays suspected before it is lost
 * @param steps the increasing shares of its load that a returning site gets; the last one is 1
 * @param hold the minimum duration of a step
 * @param answers the answers that a step needs before the next one begins
 * @param maxFailureShare the share of failures at which a returning site goes back one step
 * @param penalty added for each loss (figure of merit of RFC 2439, 4.2)
 * @param suppress the penalty at which a site is held down
 * @param reuse the penalty below which a held-down site may return
 * @param halfLife the time in which a penalty decays to half
 */
public record SiteRules(int servers, long confirm, List<Double> steps, long hold, int answers, double maxFailureShare, double penalty,
        double suppress, double reuse, long halfLife) {
    /** The defaults. */
    public static final SiteRules USUAL = new SiteRules(3, 500_000_000L, List.of(0.1, 0.25, 0.5, 1.0), 2_000_000_000L, 20, 0.2,
        1_000, 2_500, 750, 15_000_000_000L);

    /** Rejects values with which a site would never be lost, or never return. */
    public SiteRules {
        steps = List.copyOf(steps);
        require(servers >= 1, "servers: must be at least 1");
        require(confirm >= 0 && hold >= 0, "confirm, hold: must not be negative");
        require(!steps.isEmpty() && steps.get(steps.size() - 1) == 1.0, "steps: the last one must be 1");
        for (int i = 0; i < steps.size(); i++) {
            require(steps.get(i) > (i == 0 ? 0 : steps.get(i - 1)), "steps: must be positive and increasing");
        }
        require(answers >= 1, "answers: must be at least 1");
        require(maxFailureShare > 0 && maxFailureShare < 1, "maxFailureShare: must be between 0 and 1");
        require(penalty > 0 && reuse > 0 && suppress > reuse, "penalty, reuse: must be positive; suppress: must be above reuse");
        require(halfLife > 0, "halfLife: must be positive");
    }

    private static void require(boolean valid, String message) {
        if (!valid) {
            throw new IllegalArgumentException(message);
        }
    }
}
