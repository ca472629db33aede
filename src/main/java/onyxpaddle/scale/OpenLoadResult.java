package onyxpaddle.scale;

import org.HdrHistogram.Histogram;

/**
 * What came of an open load. Times are nanoseconds from when a call was <em>due</em>, so that what waits behind a stalled server
 * is counted whole.
 *
 * @param latencies until the answer; of a call without one by the end, how long it had waited then
 * @param sendDelays until the call was sent: the generator's own lateness, and waiting for a free connection
 * @param unanswered calls without an answer by the end
 * @param failed calls whose connection broke, or that were answered with an error; not among {@code latencies}
 * @param firstFailure why the first of these failed; empty if none did
 */
record OpenLoadResult(Histogram latencies, Histogram sendDelays, long unanswered, long failed, String firstFailure) {
    private static final double NANOS_PER_MS = 1e6;

    /** The latency that {@code percent} of 100 calls stay within, in milliseconds. */
    double latencyMs(double percent) {
        return latencies.getValueAtPercentile(percent) / NANOS_PER_MS;
    }

    /** The lateness of sending that {@code percent} of 100 calls stay within, in milliseconds. */
    double sendDelayMs(double percent) {
        return sendDelays.getValueAtPercentile(percent) / NANOS_PER_MS;
    }

    /** Both together. */
    OpenLoadResult with(OpenLoadResult other) {
        Histogram allLatencies = latencies.copy();
        allLatencies.add(other.latencies);
        Histogram allDelays = sendDelays.copy();
        allDelays.add(other.sendDelays);
        return new OpenLoadResult(allLatencies, allDelays, unanswered + other.unanswered, failed + other.failed,
            firstFailure.isEmpty() ? other.firstFailure : firstFailure);
    }
}
