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

/** Calls a control process and waits for its answer: for commands and for a start, never on an event loop. */
public final class ControlClient {
    private static final Duration CONNECT = Duration.ofSeconds(3);

    /** An answer of HTTP; {@code retryAfterSeconds}: 0 for none. */
    public record Response(int status, byte[] body, long retryAfterSeconds) {
        public String text() {
            return new String(body, java.nio.charset.StandardCharsets.UTF_8);
        }
    }

    private final HttpClient client = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).connectTimeout(CONNECT).build();

    /** @throws IOException where no answer comes within this time, or one of more than so many bytes */
    public Response get(HostPort at, String uri, Duration within, int mostBytes) throws IOException, InterruptedException {
        return send(at, HttpRequest.newBuilder(URI.create("http://" + at + uri)).timeout(within).GET().build(), mostBytes);
    }

    /** @throws IOException where no answer comes within this time, or one of more than so many bytes */
    public Response post(HostPort at, String uri, byte[] body, Duration within, int mostBytes) throws IOException, InterruptedException {
        return send(at, HttpRequest.newBuilder(URI.create("http://" + at + uri)).timeout(within)
            .POST(BodyPublishers.ofByteArray(body)).build(), mostBytes);
    }

    private Response send(HostPort at, HttpRequest request, int mostBytes) throws IOException, InterruptedException {
        HttpResponse<InputStream> response;
        try {
            response = client.send(request, BodyHandlers.ofInputStream());
        } catch (IOException e) {
            throw new IOException(at + " does not answer: " + (e instanceof ConnectException ? "nothing listens there"
                : e.getMessage() == null ? e : e.getMessage()), e);
        }
        try (InputStream in = response.body()) {
            byte[] body = in.readNBytes(mostBytes + 1);
            if (body.length > mostBytes) {
                throw new IOException(at + " answers more than " + mostBytes + " bytes");
            }
            return new Response(response.statusCode(), body, response.headers().firstValueAsLong("retry-after").orElse(0));
        } catch (NumberFormatException e) {
            throw new IOException(at + " answers a Retry-After that is no number", e);
        }
    }
}
