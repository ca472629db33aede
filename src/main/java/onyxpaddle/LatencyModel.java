package onyxpaddle;

import onyxpaddle.BalancerApi.ClassSnapshot;
import onyxpaddle.BalancerApi.RequestClass;

/**
 * A class's usual round trip, by the cost hint where there is one. Round trips are divided by it, so that
 * a server is not judged by what it happened to get (the paper's remedy for mixed requests, section 6).
 */
final class LatencyModel {
    /** Weight of one more round trip in the usual one. */
    static final double STEP = 0.02;
    /**
     * No attempt is given up sooner. Guards against a short pause of this node or of the server, such as
     * for garbage, being taken for a lost call where calls take less than a millisecond; should cover any
     * server much faster than its pauses. Where such a server loses calls, each is noticed this late.
     */
    private static final long LEAST_PATIENCE = 20_000_000L;

    final RequestClass about;
    private double trip;
    private double deviation;
    private double cost;
    private double costVariance;
    private double covariance;
    private int seen;

    LatencyModel(RequestClass about) {
        this.about = about;
    }

    void learn(double hint, double latency) {
        double step = Math.max(STEP, 1.0 / ++seen);
        deviation += step * (Math.abs(latency - usual(hint)) - deviation);
        double offCost = hint - cost;
        double offTrip = latency - trip;
        cost += step * offCost;
        trip += step * offTrip;
        costVariance += step * (offCost * offCost - costVariance);
        covariance += step * (offCost * offTrip - covariance);
    }

    ClassSnapshot snapshot() {
        return new ClassSnapshot(about.name(), trip, deviation, cost, costVariance, covariance, seen);
    }

    void recall(ClassSnapshot known) {
        trip = known.trip();
        deviation = known.deviation();
        cost = known.cost();
        costVariance = known.costVariance();
        covariance = known.covariance();
        seen = known.seen();
    }

    double usual(double hint) {
        if (seen == 0) {
            return about.aim() > 0 ? about.aim() / 4.0 : 1e8;
        }
        double slope = costVariance > 1e-12 ? covariance / costVariance : 0;
        return Math.max(trip / 5, trip + Math.max(0, slope) * (hint - cost));
    }

    /** How long an attempt may take before a further one is worth its work. */
    long patience(double hint) {
        return Math.max(LEAST_PATIENCE, (long) (usual(hint) + 4 * deviation));
    }
}
