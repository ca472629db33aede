package onyxpaddle.control;

import java.io.IOException;
import java.io.InputStream;
import java.net.ConnectException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.time.Duration;
import onyxpaddle.config.HostPort;

/** Blocking client of a control process, for commands and start-up. Must not be used on an event loop. */
public final class ControlClient {
    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(3);

    /** An HTTP response; {@code retryAfterSeconds} is 0 without that header. */
    public record Response(int status, byte[] body, long retryAfterSeconds) {
        public String text() {
            return new String(body, java.nio.charset.StandardCharsets.UTF_8);
        }
    }

    private final HttpClient client = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).connectTimeout(CONNECT_TIMEOUT).build();

    /** @throws IOException if no response arrives within {@code timeout}, or its body exceeds {@code maxBytes} */
    public Response get(HostPort at, String uri, Duration timeout, int maxBytes) throws IOException, InterruptedException {
        return send(at, HttpRequest.newBuilder(URI.create("http://" + at + uri)).timeout(timeout).GET().build(), maxBytes);
    }

    /** @throws IOException if no response arrives within {@code timeout}, or its body exceeds {@code maxBytes} */
    public Response post(HostPort at, String uri, byte[] body, Duration timeout, int maxBytes) throws IOException, InterruptedException {
        return send(at, HttpRequest.newBuilder(URI.create("http://" + at + uri)).timeout(timeout)
            .POST(BodyPublishers.ofByteArray(body)).build(), maxBytes);
    }

    private Response send(HostPort at, HttpRequest request, int maxBytes) throws IOException, InterruptedException {
        HttpResponse<InputStream> response;
        try {
            response = client.send(request, BodyHandlers.ofInputStream());
        } catch (IOException e) {
            throw new IOException(at + " does not answer: " + (e instanceof ConnectException ? "connection refused"
                : e.getMessage() == null ? e : e.getMessage()), e);
        }
        try (InputStream in = response.body()) {
            byte[] body = in.readNBytes(maxBytes + 1);
            if (body.length > maxBytes) {
                throw new IOException(at + " answered with more than " + maxBytes + " bytes");
            }
            return new Response(response.statusCode(), body, response.headers().firstValueAsLong("retry-after").orElse(0));
        } catch (NumberFormatException e) {
            throw new IOException(at + " answered with a Retry-After that is not a number", e);
        }
    }
}
