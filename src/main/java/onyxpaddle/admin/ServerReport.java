package onyxpaddle.admin;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.StringWriter;
import java.io.UncheckedIOException;
import java.util.Locale;
import java.util.Map;
import onyxpaddle.BalancerApi.ServerStatus;
import onyxpaddle.node.Dispatcher;

/** The status of the servers of all pools at a node, as JSON: an array with one object for each server of each pool. */
public final class ServerReport {
    private ServerReport() {
    }

    public static String of(Map<String, Dispatcher> pools) {
        StringWriter text = new StringWriter();
        try (JsonGenerator g = new JsonFactory().createGenerator(text)) {
            g.writeStartArray();
            for (Map.Entry<String, Dispatcher> pool : pools.entrySet()) {
                for (ServerStatus s : pool.getValue().serverStatuses()) {
                    write(g, pool.getKey(), s);
                }
            }
            g.writeEndArray();
            g.writeRaw('\n');
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return text.toString();
    }

    private static void write(JsonGenerator g, String pool, ServerStatus s) throws IOException {
        g.writeStartObject();
        g.writeStringField("pool", pool);
        g.writeStringField("server", s.server());
        g.writeStringField("zone", s.zone());
        g.writeStringField("state", s.state().name().toLowerCase(Locale.ROOT));
        g.writeBooleanField("takenOut", s.takenOut());
        g.writeBooleanField("doubted", s.doubted());
        g.writeBooleanField("cold", s.cold());
        g.writeNumberField("chance", round(s.chance()));
        g.writeNumberField("mean", round(s.mean()));
        g.writeNumberField("out", s.out());
        g.writeEndObject();
    }

    private static double round(double figure) {
        return Math.round(figure * 1000) / 1000.0;
    }
}
