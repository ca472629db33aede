package onyxpaddle.serve;

/** What a server does with an attempt whose request has a body: each outcome of the protocol page, before, within and after the body. */
enum UploadConduct {
    SERVES(Point.AFTER, true),
    /** Serves after a time that is long for the class. */
    SERVES_LATE(Point.AFTER, true),
    /** Reads at 64 KiB each 60 ms, and serves. */
    READS_SLOWLY(Point.AFTER, true),
    RESETS_AT_HEAD(Point.HEAD, false),
    RESETS_MIDWAY(Point.MIDWAY, false),
    RESETS(Point.AFTER, true),
    CLOSES_AT_HEAD(Point.HEAD, false),
    CLOSES_MIDWAY(Point.MIDWAY, false),
    CLOSES(Point.AFTER, true),
    TURNS_AWAY_AT_HEAD(Point.HEAD, false),
    TURNS_AWAY_MIDWAY(Point.MIDWAY, false),
    TURNS_AWAY(Point.AFTER, false),
    FAILS_AT_HEAD(Point.HEAD, false),
    FAILS_MIDWAY(Point.MIDWAY, false),
    FAILS(Point.AFTER, true),
    CUTS_ANSWER(Point.AFTER, true),
    READS_NOTHING(Point.HEAD, false),
    STOPS_MIDWAY(Point.MIDWAY, false),
    NEVER_ANSWERS(Point.AFTER, true),
    /** Its listener is closed. */
    REFUSES_CONNECTIONS(Point.HEAD, false);

    /** When the server begins to behave differently from one that serves. */
    enum Point { HEAD, MIDWAY, AFTER }

    final Point point;
    /** Whether the request may have run once the server has read it whole. */
    final boolean mayRun;

    UploadConduct(Point point, boolean mayRun) {
        this.point = point;
        this.mayRun = mayRun;
    }
}
