package onyxpaddle.http;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpHeadersFactory;
import io.netty.handler.codec.http.TooLongHttpHeaderException;

/**
 * The fields of a head or of trailers as they are decoded, in a bounded number. A field of three bytes takes some hundred once it is
 * decoded, so that a bound on the bytes of a head is none on its memory.
 */
final class BoundedHttpHeaders extends DefaultHttpHeaders {
    static final int MAX_FIELDS = 128;

    /** Creates the fields of one connection's heads and trailers, and tells how many those that are being decoded have so far. */
    static final class Factory implements HttpHeadersFactory {
        private BoundedHttpHeaders latest;

        @Override
        public HttpHeaders newHeaders() {
            latest = new BoundedHttpHeaders();
            return latest;
        }

        @Override
        public HttpHeaders newEmptyHeaders() {
            return newHeaders();
        }

        /** What was decoded last is complete. */
        void complete() {
            latest = null;
        }

        /** How many fields of what is not complete have been decoded. */
        int incompleteFields() {
            return latest == null ? 0 : latest.added;
        }
    }

    private int added;

    /** Lets a decoder fail on heads and trailers of more fields. */
    static HttpDecoderConfig limit(HttpDecoderConfig config, Factory factory) {
        return config.setHeadersFactory(factory).setTrailersFactory(factory);
    }

    @Override
    public HttpHeaders add(CharSequence name, Object value) {
        if (++added > MAX_FIELDS) {
            throw new TooLongHttpHeaderException("more than " + MAX_FIELDS + " header fields");
        }
        return super.add(name, value);
    }
}
