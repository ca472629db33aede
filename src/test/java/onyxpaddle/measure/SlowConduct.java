package onyxpaddle.measure;

import java.nio.charset.StandardCharsets;

/** What a client does that takes its time, stops, or floods, in the bytes that it writes and in how it reads. */
enum SlowConduct implements PeerConduct {
    /** A head of many short fields that stops before its end. */
    STOPS_IN_A_HEAD_OF_MANY_FIELDS(head("GET", "") + "a:\r\n".repeat(3_900), "", 0, Reading.AT_ONCE, false),
    /** A head with one long field that stops before its end. */
    STOPS_IN_A_LONG_FIELD(head("GET", "") + "a: " + "b".repeat(15_000), "", 0, Reading.AT_ONCE, false),
    WRITES_A_HEAD_BYTE_BY_BYTE(head("GET", ""), "x", 40, Reading.AT_ONCE, false),
    STOPS_IN_A_BODY(head("POST", "Content-Length: 1000000\r\n") + "\r\n" + "b".repeat(500_000), "", 0, Reading.AT_ONCE, false),
    STOPS_IN_A_LARGE_BODY(head("POST", "Content-Length: 3000000\r\n") + "\r\n" + "b".repeat(700_000), "", 0, Reading.AT_ONCE, false),
    STOPS_IN_A_CHUNKED_BODY(head("POST", "Transfer-Encoding: chunked\r\n") + "\r\n7d000\r\n" + "b".repeat(200_000), "", 0,
        Reading.AT_ONCE, false),
    WRITES_A_BODY_SLOWLY(head("POST", "Content-Length: 1000000\r\n") + "\r\n", "b".repeat(6_000), 100, Reading.AT_ONCE, false),
    /** Answers of 60 kB, asked for again and again on one connection. */
    READS_NOTHING(head("GET", "X-Answer-Bytes: 60000\r\n") + "\r\n", head("GET", "X-Answer-Bytes: 60000\r\n") + "\r\n", 20,
        Reading.NEVER, false),
    READS_SLOWLY(head("GET", "X-Answer-Bytes: 2000000\r\n") + "\r\n", "", 0, Reading.SLOWLY, false),
    /** One request after another with the most fields that are small, each answered. */
    FLOODS_WITH_FIELDS(head("GET", "") + "a:\r\n".repeat(900) + "\r\n", "", 0, Reading.AT_ONCE, true),
    FLOODS_WITH_UNKNOWN_CLASSES(("GET /none HTTP/1.1\r\nHost: app.svc\r\nX-Trace-Id: %s\r\nX-Qos: none\r\n\r\n").repeat(10), "", 0,
        Reading.AT_ONCE, true),
    PIPELINES(request().repeat(40), "", 0, Reading.AT_ONCE, true),
    PIPELINES_AND_READS_NOTHING(request().repeat(40), "", 0, Reading.NEVER, true);

    private final String opening;
    private final String more;
    private final int intervalMs;
    private final Reading reading;
    private final boolean repeats;

    SlowConduct(String opening, String more, int intervalMs, Reading reading, boolean repeats) {
        this.opening = opening;
        this.more = more;
        this.intervalMs = intervalMs;
        this.reading = reading;
        this.repeats = repeats;
    }

    private static String head(String method, String headers) {
        String path = method.equals("GET") ? "read" : "book";
        return method + " /" + path + " HTTP/1.1\r\nHost: app.svc\r\nX-Trace-Id: %s\r\nX-Qos: " + path + "\r\n" + headers;
    }

    private static String request() {
        return head("GET", "") + "\r\n";
    }

    @Override
    public byte[] opening(String id) {
        return opening.replace("%s", id).getBytes(StandardCharsets.US_ASCII);
    }

    @Override
    public byte[] more(String id) {
        return more.replace("%s", id).getBytes(StandardCharsets.US_ASCII);
    }

    @Override
    public boolean writesMore() {
        return !more.isEmpty();
    }

    @Override
    public int intervalMs() {
        return intervalMs;
    }

    @Override
    public Reading reading() {
        return reading;
    }

    @Override
    public boolean repeats() {
        return repeats;
    }
}
