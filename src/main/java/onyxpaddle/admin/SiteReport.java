package onyxpaddle.admin;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.StringWriter;
import java.io.UncheckedIOException;
import java.util.List;
import java.util.Map;
import onyxpaddle.node.Dispatcher;
import onyxpaddle.node.SiteGate;

/** The status of the sites at a node, as JSON: an array with one object for each site of each pool that has sites. */
public final class SiteReport {
    private SiteReport() {
    }

    /** Null if no pool has sites. */
    public static String of(Map<String, Dispatcher> pools) {
        StringWriter text = new StringWriter();
        boolean any = false;
        try (JsonGenerator g = new JsonFactory().createGenerator(text)) {
            g.writeStartArray();
            for (Map.Entry<String, Dispatcher> pool : pools.entrySet()) {
                List<SiteGate.Site> sites = pool.getValue().sites();
                any |= sites != null;
                for (SiteGate.Site site : sites == null ? List.<SiteGate.Site>of() : sites) {
                    g.writeStartObject();
                    g.writeStringField("pool", pool.getKey());
                    g.writeStringField("site", site.name());
                    g.writeStringField("phase", site.phase());
                    g.writeBooleanField("held", site.held());
                    g.writeNumberField("penalty", Math.round(site.penalty()));
                    g.writeEndObject();
                }
            }
            g.writeEndArray();
            g.writeRaw('\n');
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return any ? text.toString() : null;
    }
}
