package onyxpaddle;

import onyxpaddle.BalancerApi.ClassSnapshot;
import onyxpaddle.BalancerApi.RequestClass;

/**
 * Expected round trip of a request class, by linear regression on the cost hint where there is one. Round
 * trips are divided by it, so that a server is not judged by the requests that it happened to receive (the
 * paper's remedy for mixed requests, section 6).
 */
final class LatencyModel {
    /** Weight of a new sample in the exponentially weighted means. */
    static final double EWMA_WEIGHT = 0.02;
    /**
     * Lower bound of an attempt's time-out, 20 ms. Guards against taking a short pause of this node or of the
     * server, such as for garbage collection, for a lost call where calls take less than a millisecond; it
     * should cover any server much faster than its pauses. A call that such a server does lose is noticed
     * only after this time.
     */
    private static final long MIN_ATTEMPT_TIMEOUT = 20_000_000L;

    final RequestClass requestClass;
    private double trip;
    private double deviation;
    private double cost;
    private double costVariance;
    private double covariance;
    private int samples;

    LatencyModel(RequestClass requestClass) {
        this.requestClass = requestClass;
    }

    void observe(double hint, double latency) {
        double weight = Math.max(EWMA_WEIGHT, 1.0 / ++samples);
        deviation += weight * (Math.abs(latency - expected(hint)) - deviation);
        double costOffset = hint - cost;
        double tripOffset = latency - trip;
        cost += weight * costOffset;
        trip += weight * tripOffset;
        costVariance += weight * (costOffset * costOffset - costVariance);
        covariance += weight * (costOffset * tripOffset - covariance);
    }

    ClassSnapshot snapshot() {
        return new ClassSnapshot(requestClass.name(), trip, deviation, cost, costVariance, covariance,
            samples);
    }

    void restore(ClassSnapshot saved) {
        trip = saved.trip();
        deviation = saved.deviation();
        cost = saved.cost();
        costVariance = saved.costVariance();
        covariance = saved.covariance();
        samples = saved.seen();
    }

    double expected(double hint) {
        if (samples == 0) {
            return requestClass.aim() > 0 ? requestClass.aim() / 4.0 : 1e8;
        }
        double slope = costVariance > 1e-12 ? covariance / costVariance : 0;
        return Math.max(trip / 5, trip + Math.max(0, slope) * (hint - cost));
    }

    /** Time after which a further attempt is worth its work. */
    long attemptTimeout(double hint) {
        return Math.max(MIN_ATTEMPT_TIMEOUT, (long) (expected(hint) + 4 * deviation));
    }
}
