package onyxpaddle.distribution;

/** Text from outside as messages quote it: one line of bounded length. */
final class Shortened {
    private static final int LONGEST = 80;

    private Shortened() {
    }

    static String of(String text) {
        String part = text.length() > LONGEST ? text.substring(0, LONGEST) + "…" : text;
        return part.replaceAll("\\p{Cntrl}", "?");
    }
}
