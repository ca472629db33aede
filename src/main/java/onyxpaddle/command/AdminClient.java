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

/** A call at a node's operators' door. */
final class AdminClient {
    /** The door answers within a second; a busy machine may be slower. */
    private static final Duration PATIENCE = Duration.ofSeconds(5);

    private AdminClient() {
    }

    /** {@code admin}: null for what $GW_ADMIN says. */
    static HttpResponse<String> ask(CommandSpec spec, HostPort admin, String method, String path)
            throws IOException, InterruptedException {
        String told = System.getenv("GW_ADMIN");
        HostPort at = admin != null || told == null ? admin : new Address().convert(told);
        if (at == null) {
            throw new ParameterException(spec.commandLine(), "where? --admin ADDRESS, or $GW_ADMIN");
        }
        HttpClient client = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).connectTimeout(PATIENCE).build();
        try {
            return client.send(HttpRequest.newBuilder(URI.create("http://" + at + path)).timeout(PATIENCE)
                .method(method, HttpRequest.BodyPublishers.noBody()).build(), HttpResponse.BodyHandlers.ofString());
        } catch (IOException e) {
            throw new IOException(at + " does not answer: " + (e instanceof ConnectException ? "nothing listens there"
                : e.getMessage() == null ? e : e.getMessage()), e);
        }
    }

    static final class Address implements ITypeConverter<HostPort> {
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
