package onyxpaddle.membership;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import onyxpaddle.BalancerApi.ServerEntry;
import onyxpaddle.BalancerApi.ServerState;
import onyxpaddle.node.Addresses;
import onyxpaddle.node.Clock;
import onyxpaddle.node.ServerList.Host;

/** Parses lists of servers in the format of the platform's discovery. */
public final class RosterJson {
    public static final JsonFactory JSON = new JsonFactory();
    private static final Map<String, ServerState> STATES = Map.of("ready", ServerState.READY,
        "draining", ServerState.DRAINING, "gone", ServerState.GONE);

    private RosterJson() {
    }

    public static ListUpdate parse(byte[] json) throws IOException {
        try (JsonParser parser = JSON.createParser(json)) {
            parser.nextToken();
            ListUpdate update = read(parser);
            if (parser.nextToken() != null) {
                throw new IOException("list: more than one document");
            }
            return update;
        }
    }

    /** Reads the parser's current object; throws if it is not a complete and valid list. */
    public static ListUpdate read(JsonParser p) throws IOException {
        long seq = -1;
        boolean whole = false;
        List<Host> hosts = null;
        expect(p, JsonToken.START_OBJECT);
        while (p.nextToken() != JsonToken.END_OBJECT) {
            String name = p.currentName();
            p.nextToken();
            switch (name) {
                case "seq" -> seq = p.getLongValue();
                case "whole" -> whole = p.getBooleanValue();
                case "hosts" -> hosts = hosts(p);
                default -> p.skipChildren();
            }
        }
        if (seq < 0 || hosts == null) {
            throw new IOException("list: seq or hosts missing");
        }
        return new ListUpdate(seq, whole, hosts, List.of());
    }

    private static List<Host> hosts(JsonParser p) throws IOException {
        List<Host> hosts = new ArrayList<>();
        expect(p, JsonToken.START_ARRAY);
        while (p.nextToken() != JsonToken.END_ARRAY) {
            hosts.add(host(p));
        }
        return hosts;
    }

    private static Host host(JsonParser p) throws IOException {
        String id = null;
        String dial = null;
        String site = "";
        long block = 0;
        ServerState state = null;
        double share = 1;
        long born = 0;
        expect(p, JsonToken.START_OBJECT);
        while (p.nextToken() != JsonToken.END_OBJECT) {
            String name = p.currentName();
            boolean present = p.nextToken() != JsonToken.VALUE_NULL;
            switch (present ? name : "") {
                case "host" -> id = p.getText();
                case "dial" -> dial = p.getText();
                case "site" -> site = p.getText();
                case "block" -> block = p.getLongValue();
                case "health" -> state = STATES.get(p.getText());
                case "share" -> share = p.getDoubleValue();
                case "born_ms" -> born = p.getLongValue();
                default -> p.skipChildren();
            }
        }
        if (id == null || id.isEmpty() || state == null || dial == null && state != ServerState.GONE) {
            throw new IOException("list: an entry lacks a valid host, dial or health");
        }
        return new Host(new ServerEntry(id, site, block, state, share, Clock.ofMillis(born)),
            dial == null ? null : Addresses.parse(dial));
    }

    private static void expect(JsonParser p, JsonToken token) throws IOException {
        if (p.currentToken() != token) {
            throw new IOException("list: expected " + token + ", got " + p.currentToken());
        }
    }
}
