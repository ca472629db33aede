package onyxpaddle.measure;

import java.io.IOException;
import java.io.InputStream;

/** Reads the heads of HTTP requests that have no body. */
final class HttpHead {
    private static final String END = "\r\n\r\n";

    private HttpHead() {
    }

    /** The next head with the empty line at its end; null at the end of the stream. */
    static String read(InputStream in) throws IOException {
        StringBuilder head = new StringBuilder();
        while (head.indexOf(END) < 0) {
            int next = in.read();
            if (next < 0) {
                return null;
            }
            head.append((char) next);
        }
        return head.toString();
    }
}
