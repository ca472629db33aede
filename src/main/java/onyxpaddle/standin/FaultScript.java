package onyxpaddle.standin;

import java.util.ArrayDeque;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

/** What goes wrong with each answer of a stand-in, one after the other: as listed, or drawn with a seed. */
public final class FaultScript {
    /** What may go wrong with an answer; each comes after the request has run. */
    public enum Fault {
        NONE,
        /** No answer comes. */
        LOSE_REPLY,
        /** The answer comes later, by as long as the script says. */
        DELAY,
        /** The answer comes after the next one on the connection. MessagePack-RPC only. */
        REORDER,
        /** The answer comes twice. */
        DUPLICATE,
        /** The answer has a msgid that nobody asked by. MessagePack-RPC only. */
        WRONG_ID,
        /** Half of the answer comes, and then nothing on the connection. */
        STALL_MID_FRAME,
        /** Some bytes of the answer come, and the connection is closed. */
        CUT_SHORT,
        /** Bytes that are no answer come in its place. */
        GARBAGE
    }

    private final ArrayDeque<Fault> listed = new ArrayDeque<>();
    private final Map<Fault, Double> shares = new EnumMap<>(Fault.class);
    private final Random random;
    private final long delayMillis;

    private FaultScript(List<Fault> listed, Map<Fault, Double> shares, long seed, long delayMillis) {
        this.listed.addAll(listed);
        this.shares.putAll(shares);
        this.random = new Random(seed);
        this.delayMillis = delayMillis;
    }

    /** Nothing goes wrong. */
    public static FaultScript none() {
        return sequence(0);
    }

    /** These in their order, then nothing more; a delay is of so many milliseconds. */
    public static FaultScript sequence(long delayMillis, Fault... faults) {
        return new FaultScript(List.of(faults), Map.of(), 0, delayMillis);
    }

    /** Each answer has each fault with its share, from 0 to 1, drawn with the seed. */
    public static FaultScript random(long seed, long delayMillis, Map<Fault, Double> shares) {
        return new FaultScript(List.of(), shares, seed, delayMillis);
    }

    synchronized Fault next() {
        if (!listed.isEmpty()) {
            return listed.poll();
        }
        double drawn = shares.isEmpty() ? 1 : random.nextDouble();
        for (Map.Entry<Fault, Double> share : shares.entrySet()) {
            drawn -= share.getValue();
            if (drawn < 0) {
                return share.getKey();
            }
        }
        return Fault.NONE;
    }

    /** From 0 to below the bound. */
    synchronized int draw(int bound) {
        return random.nextInt(bound);
    }

    synchronized byte[] garbage() {
        byte[] garbage = new byte[1 + random.nextInt(40)];
        random.nextBytes(garbage);
        // A first byte that begins neither an answer of HTTP nor a frame: else a fault might pass for a slow answer.
        garbage[0] = (byte) 0xc1;
        return garbage;
    }

    long delayMillis() {
        return delayMillis;
    }
}
