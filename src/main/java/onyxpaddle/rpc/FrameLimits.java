package onyxpaddle.rpc;

/**
 * Limits that a {@link FrameDecoder} enforces.
 *
 * @param maxFrameBytes the size of a frame
 * @param maxDepth the nesting depth of arrays and maps in a value
 * @param maxMethodBytes the length of a method name
 * @param maxEnvelopeBytes the size of an envelope
 */
record FrameLimits(long maxFrameBytes, int maxDepth, int maxMethodBytes, int maxEnvelopeBytes) {
    private static final int MAX_DEPTH = 64;
    private static final int MAX_METHOD_BYTES = 256;
    private static final int MAX_ENVELOPE_BYTES = 1024;
    /** Allowance for everything but the payload. */
    private static final int HEADER_BYTES = 2 * MAX_ENVELOPE_BYTES;

    static FrameLimits forPayload(long maxPayloadBytes) {
        return new FrameLimits(maxPayloadBytes + HEADER_BYTES, MAX_DEPTH, MAX_METHOD_BYTES, MAX_ENVELOPE_BYTES);
    }
}
