package onyxpaddle.serve;

import java.util.Locale;
import onyxpaddle.BalancerApi.Effect;

/**
 * One combination of a request with a body and the servers' conduct.
 *
 * @param spreadMs over how long the client writes the body
 * @param conduct of the first attempts of each request
 * @param attempts how many attempts of each request meet that conduct; the others are served
 * @param timeoutMs how long clients wait from their last byte
 */
record UploadCase(Effect effect, int size, boolean chunked, boolean secondCopies, int spreadMs, UploadConduct conduct, int attempts,
        int timeoutMs) {
    static final int ALL = Integer.MAX_VALUE;

    @Override
    public String toString() {
        return String.format(Locale.ROOT, "%s %d bytes%s%s, over %d ms, %s %s, %d ms", effect, size, chunked ? " in chunks" : "",
            secondCopies ? ", second copies" : "", spreadMs, attempts == ALL ? "all" : "first " + attempts, conduct, timeoutMs);
    }
}
