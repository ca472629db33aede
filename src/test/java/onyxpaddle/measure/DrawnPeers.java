package onyxpaddle.measure;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import onyxpaddle.measure.PlatformRig.Limits;

/**
 * A crowd of clients drawn from a seed: what they write, into how many pieces they cut it, when they stop, how they read and leave, what
 * some servers do meanwhile, and what happens to the process.
 *
 * @param conducts of the clients, which take turns
 * @param reconnects clients whose connection ended connect again at once
 */
record DrawnPeers(List<Drawn> conducts, int clients, boolean reconnects, Limits limits, ServerTrouble trouble,
        ProcessTrouble process) {
    /** How a request is written. */
    enum Framing {
        CHUNKS, LENGTH, FIELDS, PIPELINED_CHUNKS, PIPELINED_REQUESTS, ANSWER_IN_CHUNKS
    }

    /** What a third of the servers does. */
    enum ServerTrouble {
        NONE, TURNS_AWAY, READS_NOTHING, HANGS, ANSWERS_LATE
    }

    /** What happens to the node's process. */
    enum ProcessTrouble {
        NONE,
        /** It is stopped for a moment, again and again. */
        STANDS_STILL,
        /** Another process takes its place. */
        REPLACED
    }

    private static final int[] SIZES = {500, 60_000, 300_000, 1_048_000, 2_500_000};
    private static final int[] CUTS = {64 * 1024, 1_024, 10, 1};
    private static final int[] CLIENTS = {1, 4, 20, 60, 200, 540};
    private static final int[] LEAVES_AFTER_MS = {50, 200, 600, 1_500};
    private static final int MAX_CHUNKS = 120_000;
    private static final int MAX_FIELDS = 200;
    private static final int MAX_WRITTEN = 3_000_000;
    private static final long MAX_TOTAL = 400L << 20;
    private static final Limits FULL = new Limits(1_024, 192);
    private static final Limits LEAST_MEMORY = new Limits(1_024, 96);
    private static final Limits FEW_DESCRIPTORS = new Limits(256, 192);

    private static int any(Random random, int[] of) {
        return of[random.nextInt(of.length)];
    }

    private static <T extends Enum<T>> T any(Random random, Class<T> of) {
        T[] values = of.getEnumConstants();
        return values[random.nextInt(values.length)];
    }

    /** The crowd of a seed. */
    static DrawnPeers of(long seed) {
        Random random = new Random(seed);
        List<Drawn> conducts = new ArrayList<>();
        for (int i = 1 + random.nextInt(3); i > 0; i--) {
            conducts.add(Drawn.of(random));
        }
        long bytes = conducts.stream().mapToLong(c -> c.text().length()).max().orElseThrow();
        int clients = (int) Math.min(any(random, CLIENTS), Math.max(1, MAX_TOTAL / bytes));
        Limits limits = List.of(FULL, FULL, LEAST_MEMORY, FEW_DESCRIPTORS).get(random.nextInt(4));
        return new DrawnPeers(conducts, clients, random.nextBoolean(), limits, any(random, ServerTrouble.class),
            random.nextBoolean() ? ProcessTrouble.NONE : any(random, ProcessTrouble.class));
    }

    /** Crowds that are smaller in one respect each, the smallest first. */
    List<DrawnPeers> smaller() {
        List<DrawnPeers> smaller = new ArrayList<>();
        if (trouble != ServerTrouble.NONE) {
            smaller.add(new DrawnPeers(conducts, clients, reconnects, limits, ServerTrouble.NONE, process));
        }
        if (process != ProcessTrouble.NONE) {
            smaller.add(new DrawnPeers(conducts, clients, reconnects, limits, trouble, ProcessTrouble.NONE));
        }
        for (Drawn conduct : conducts.size() > 1 ? conducts : List.<Drawn>of()) {
            smaller.add(new DrawnPeers(List.of(conduct), clients, reconnects, limits, trouble, process));
        }
        if (clients > 1) {
            smaller.add(new DrawnPeers(conducts, clients / 4 + 1, reconnects, limits, trouble, process));
        }
        if (!limits.equals(FULL)) {
            smaller.add(new DrawnPeers(conducts, clients, reconnects, FULL, trouble, process));
        }
        if (reconnects) {
            smaller.add(new DrawnPeers(conducts, clients, false, limits, trouble, process));
        }
        return smaller;
    }

    /**
     * What one client does.
     *
     * @param bytes of the body, or of the answer's pieces
     * @param cut the bytes of a piece
     * @param part how much of the request is written
     * @param leavesAfterMs when it leaves; 0 if it stays
     */
    record Drawn(Framing framing, int bytes, int cut, double part, Reading reading, End end, int leavesAfterMs) implements PeerConduct {
        private static Drawn of(Random random) {
            boolean stops = random.nextInt(3) == 0;
            End end = any(random, End.class);
            return new Drawn(any(random, Framing.class), any(random, SIZES), any(random, CUTS), stops ? random.nextDouble() : 1,
                random.nextInt(4) == 0 ? Reading.NEVER : Reading.AT_ONCE, end, end == End.STAYS ? 0 : any(random, LEAVES_AFTER_MS));
        }

        private static String head(String className, String headers) {
            return (className.equals("read") ? "GET" : "POST") + " /" + className + " HTTP/1.1\r\nHost: app.svc\r\nX-Trace-Id: %s\r\nX-Qos: "
                + className + "\r\n" + headers + "\r\n";
        }

        private String chunks() {
            int count = Math.max(1, Math.min(MAX_CHUNKS, bytes / cut));
            String piece = Integer.toHexString(cut) + "\r\n" + "b".repeat(cut) + "\r\n";
            // The first chunk brings the body to its size.
            int first = Math.max(1, bytes - count * cut);
            return Integer.toHexString(first) + "\r\n" + "b".repeat(first) + "\r\n" + piece.repeat(count) + "0\r\n\r\n";
        }

        private String text() {
            String whole = switch (framing) {
                case CHUNKS -> head("book", "Transfer-Encoding: chunked\r\n") + chunks();
                case LENGTH -> head("book", "Content-Length: " + bytes + "\r\n") + "b".repeat(bytes);
                case FIELDS -> head("read", ("a:" + "b".repeat(Math.min(cut, 100)) + "\r\n").repeat(Math.min(MAX_FIELDS, bytes / 60 + 1)));
                case PIPELINED_CHUNKS -> head("book", "X-Answer-Delay: 1200\r\nContent-Length: 0\r\n")
                    + head("book", "Transfer-Encoding: chunked\r\n") + chunks();
                case PIPELINED_REQUESTS -> head("read", "X-Answer-Delay: 300\r\n").repeat(Math.min(5_000, bytes / 70 + 1));
                case ANSWER_IN_CHUNKS -> head("read", "X-Answer-Bytes: " + Math.min(bytes, 200_000) + "\r\nX-Answer-Tiny-Chunks: "
                    + Math.min(60_000, bytes / cut + 1) + "\r\n");
            };
            return whole.substring(0, (int) Math.max(1, Math.min(MAX_WRITTEN, part * whole.length())));
        }

        @Override
        public byte[] opening(String id) {
            return CutConduct.numbered(text(), id).getBytes(StandardCharsets.US_ASCII);
        }
    }
}
