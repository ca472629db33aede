package onyxpaddle.rpc;

/**
 * Bounds of a frame.
 *
 * @param frame the most bytes of one
 * @param deepest the most arrays and maps within each other in a value
 * @param method the most bytes of a method's name
 * @param envelope the most bytes of an envelope
 */
record FrameLimits(long frame, int deepest, int method, int envelope) {
    private static final int DEEPEST = 64;
    private static final int METHOD = 256;
    private static final int ENVELOPE = 1024;
    /** For all that is not payload. */
    private static final int HEAD = 2 * ENVELOPE;

    /** With so many bytes for the payload. */
    static FrameLimits forPayload(long bytes) {
        return new FrameLimits(bytes + HEAD, DEEPEST, METHOD, ENVELOPE);
    }
}
