package onyxpaddle.measure;

import java.nio.charset.StandardCharsets;

/** What a client does whose bytes cost the node more than their number says: it cuts them into pieces of one byte, or into short fields. */
enum CutConduct implements PeerConduct {
    /** A small request that is answered late, and behind it a long body in chunks of one byte. */
    TINY_CHUNKS_BEHIND_A_REQUEST(head("X-Answer-Delay: 1200\r\nContent-Length: 0\r\n") + "\r\n" + chunkedHead() + tinyChunks(120_000)
        + lastChunk(), "", Reading.AT_ONCE),
    /** A body whose first part fills what is buffered whole, and then chunks of one byte. */
    TINY_CHUNKS_BEHIND_A_MEGABYTE(chunkedHead() + chunk(1_048_000) + tinyChunks(30_000) + lastChunk(), "", Reading.AT_ONCE),
    STOPS_IN_TINY_CHUNKS(chunkedHead() + tinyChunks(60_000), "", Reading.AT_ONCE),
    WRITES_TINY_CHUNKS(chunkedHead() + tinyChunks(416_000) + lastChunk(), "", Reading.AT_ONCE),
    BURSTS_OF_TINY_CHUNKS(chunkedHead() + chunk(20_000), tinyChunks(3_000), Reading.AT_ONCE),
    STOPS_IN_MANY_SHORT_FIELDS(head("a:\r\n".repeat(120)), "", Reading.AT_ONCE),
    /** An answer of 200 kB and then chunks of one byte, of which nothing is read. */
    READS_NOTHING_OF_TINY_CHUNKS("GET /read HTTP/1.1\r\nHost: app.svc\r\nX-Trace-Id: %s\r\nX-Qos: read\r\nX-Answer-Bytes: 200000\r\n"
        + "X-Answer-Tiny-Chunks: 60000\r\n\r\n", "", Reading.NEVER);

    private static final int INTERVAL_MS = 100;

    private final String opening;
    private final String more;
    private final Reading reading;

    CutConduct(String opening, String more, Reading reading) {
        this.opening = opening;
        this.more = more;
        this.reading = reading;
    }

    private static String head(String headers) {
        return "POST /book HTTP/1.1\r\nHost: app.svc\r\nX-Trace-Id: %s\r\nX-Qos: book\r\n" + headers;
    }

    private static String chunkedHead() {
        return head("Transfer-Encoding: chunked\r\n") + "\r\n";
    }

    private static String chunk(int bytes) {
        return Integer.toHexString(bytes) + "\r\n" + "b".repeat(bytes) + "\r\n";
    }

    private static String lastChunk() {
        return "0\r\n\r\n";
    }

    private static String tinyChunks(int count) {
        return chunk(1).repeat(count);
    }

    /** A client may send several requests: each place for an id gets one of its own, of which the first is the client's. */
    static String numbered(String requests, String id) {
        StringBuilder text = new StringBuilder(requests.length() + 2 * id.length());
        int from = 0;
        int number = 0;
        for (int at = requests.indexOf("%s"); at >= 0; at = requests.indexOf("%s", from)) {
            text.append(requests, from, at).append(id).append(number == 0 ? "" : "-" + number);
            number++;
            from = at + 2;
        }
        return text.append(requests, from, requests.length()).toString();
    }

    @Override
    public byte[] opening(String id) {
        return numbered(opening, id).getBytes(StandardCharsets.US_ASCII);
    }

    @Override
    public byte[] more(String id) {
        return more.getBytes(StandardCharsets.US_ASCII);
    }

    @Override
    public boolean writesMore() {
        return !more.isEmpty();
    }

    @Override
    public int intervalMs() {
        return INTERVAL_MS;
    }

    @Override
    public Reading reading() {
        return reading;
    }
}
