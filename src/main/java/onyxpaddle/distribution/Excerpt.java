package onyxpaddle.distribution;

/** Shortens untrusted text for messages: a single line of bounded length. */
final class Excerpt {
    private static final int MAX_LENGTH = 80;

    private Excerpt() {
    }

    static String of(String text) {
        String part = text.length() > MAX_LENGTH ? text.substring(0, MAX_LENGTH) + "…" : text;
        return part.replaceAll("\\p{Cntrl}", "?");
    }
}
