package onyxpaddle.standin;

import java.util.ArrayDeque;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

/** The faults of the successive answers of a stand-in server: a given sequence, or random ones from a seed. */
public final class FaultScript {
    /** The faults of an answer; each takes effect after the request has been executed. */
    public enum Fault {
        NONE,
        /** No answer is sent. */
        LOSE_REPLY,
        /** The answer is delayed by {@link #delayMillis()}. */
        DELAY,
        /** The answer is sent after the next one on the connection. MessagePack-RPC only. */
        REORDER,
        /** The answer is sent twice. */
        DUPLICATE,
        /** The answer has a msgid that belongs to no request. MessagePack-RPC only. */
        WRONG_ID,
        /** Half of the answer is sent, and then nothing more on the connection. */
        STALL_MID_FRAME,
        /** Some bytes of the answer are sent, and the connection is closed. */
        CUT_SHORT,
        /** Bytes that are not a valid answer are sent instead. */
        GARBAGE
    }

    private final ArrayDeque<Fault> sequence = new ArrayDeque<>();
    private final Map<Fault, Double> probabilities = new EnumMap<>(Fault.class);
    private final Random random;
    private final long delayMillis;

    private FaultScript(List<Fault> sequence, Map<Fault, Double> probabilities, long seed, long delayMillis) {
        this.sequence.addAll(sequence);
        this.probabilities.putAll(probabilities);
        this.random = new Random(seed);
        this.delayMillis = delayMillis;
    }

    /** No faults. */
    public static FaultScript none() {
        return sequence(0);
    }

    /** The given faults in order, then none. */
    public static FaultScript sequence(long delayMillis, Fault... faults) {
        return new FaultScript(List.of(faults), Map.of(), 0, delayMillis);
    }

    /** Gives each answer each fault with its probability, from 0 to 1; the seed makes the sequence reproducible. */
    public static FaultScript random(long seed, long delayMillis, Map<Fault, Double> probabilities) {
        return new FaultScript(List.of(), probabilities, seed, delayMillis);
    }

    synchronized Fault next() {
        if (!sequence.isEmpty()) {
            return sequence.poll();
        }
        double remaining = probabilities.isEmpty() ? 1 : random.nextDouble();
        for (Map.Entry<Fault, Double> entry : probabilities.entrySet()) {
            remaining -= entry.getValue();
            if (remaining < 0) {
                return entry.getKey();
            }
        }
        return Fault.NONE;
    }

    /** A random number from 0 to below the bound. */
    synchronized int randomBelow(int bound) {
        return random.nextInt(bound);
    }

    synchronized byte[] garbage() {
        byte[] garbage = new byte[1 + random.nextInt(40)];
        random.nextBytes(garbage);
        // 0xc1 begins neither an HTTP answer nor a MessagePack-RPC frame; otherwise the garbage might pass for an incomplete answer.
        garbage[0] = (byte) 0xc1;
        return garbage;
    }

    long delayMillis() {
        return delayMillis;
    }
}
