package onyxpaddle.command;

import java.io.IOException;
import java.net.ConnectException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import onyxpaddle.config.HostPort;
import picocli.CommandLine.ITypeConverter;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.TypeConversionException;

/** Client of a node's admin interface. */
final class AdminClient {
    /** Nodes answer within a second; the margin is for busy machines. */
    private static final Duration TIMEOUT = Duration.ofSeconds(5);

    private AdminClient() {
    }

    /** Sends a request to {@code admin}, or to $GW_ADMIN if that is null. */
    static HttpResponse<String> send(CommandSpec spec, HostPort admin, String method, String path)
            throws IOException, InterruptedException {
        String fromEnvironment = System.getenv("GW_ADMIN");
        HostPort at = admin != null || fromEnvironment == null ? admin : new AddressConverter().convert(fromEnvironment);
        if (at == null) {
            throw new ParameterException(spec.commandLine(), "no admin address: give --admin ADDRESS, or set $GW_ADMIN");
        }
        HttpClient client = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).connectTimeout(TIMEOUT).build();
        try {
            return client.send(HttpRequest.newBuilder(URI.create("http://" + at + path)).timeout(TIMEOUT)
                .method(method, HttpRequest.BodyPublishers.noBody()).build(), HttpResponse.BodyHandlers.ofString());
        } catch (IOException e) {
            throw new IOException(at + " does not answer: " + (e instanceof ConnectException ? "nothing listens there"
                : e.getMessage() == null ? e : e.getMessage()), e);
        }
    }

    static final class AddressConverter implements ITypeConverter<HostPort> {
        @Override
        public HostPort convert(String text) {
            HostPort address = HostPort.parse(text);
            if (address == null) {
                throw new TypeConversionException("`" + text + "` is no address; such as 127.0.0.1:9800");
            }
            return address;
        }
    }
}
