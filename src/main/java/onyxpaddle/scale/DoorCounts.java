package onyxpaddle.scale;

import java.util.Arrays;

/**
 * What one node's watch of one service has cost since the last reset, seen by the list service at its sockets. Used by one thread.
 */
final class DoorCounts {
    private static final long SECOND = 1_000_000_000L;
    /** Seconds over which a node's budget of bytes is summed. */
    private static final int BUDGET_SECONDS = 8;

    private long begin;
    private long calls;
    private long wholes;
    private long differences;
    private long turnedAway;
    private long bytesIn;
    private long bytesOut;
    private long lastCall;
    private long intervals;
    private double intervalSum;
    private long[] outBySecond = new long[16];

    DoorCounts(long now) {
        reset(now);
    }

    void reset(long now) {
        begin = now;
        calls = 0;
        wholes = 0;
        differences = 0;
        turnedAway = 0;
        bytesIn = 0;
        bytesOut = 0;
        lastCall = 0;
        intervals = 0;
        intervalSum = 0;
        Arrays.fill(outBySecond, 0);
    }

    void call(long now) {
        calls++;
        if (lastCall != 0) {
            intervals++;
            intervalSum += (now - lastCall) / (double) SECOND;
        }
        lastCall = now;
    }

    void whole() {
        wholes++;
    }

    void difference() {
        differences++;
    }

    void turnedAway() {
        turnedAway++;
    }

    void read(int bytes) {
        bytesIn += bytes;
    }

    void written(int bytes, long now) {
        bytesOut += bytes;
        int second = (int) Math.max(0, (now - begin) / SECOND);
        if (second >= outBySecond.length) {
            outBySecond = Arrays.copyOf(outBySecond, Math.max(second + 1, outBySecond.length * 2));
        }
        outBySecond[second] += bytes;
    }

    /** The counts as they are. */
    ListReply.Door told(int node, int service) {
        return new ListReply.Door(node, service, calls, wholes, differences, turnedAway, bytesIn, bytesOut, worst(),
            intervals == 0 ? Double.NaN : intervalSum / intervals);
    }

    private long worst() {
        long most = 0;
        long sum = 0;
        for (int i = 0; i < outBySecond.length; i++) {
            sum += outBySecond[i];
            sum -= i >= BUDGET_SECONDS ? outBySecond[i - BUDGET_SECONDS] : 0;
            most = Math.max(most, sum);
        }
        return most;
    }
}
