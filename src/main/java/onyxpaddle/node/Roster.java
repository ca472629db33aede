package onyxpaddle.node;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import io.netty.util.NetUtil;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import onyxpaddle.Balancing.ServerEntry;
import onyxpaddle.Balancing.ServerState;

/** A list of servers as discovery words it: the whole list, or the entries that changed. */
record Roster(long seq, boolean whole, List<Host> hosts) {
    static final JsonFactory JSON = new JsonFactory();
    private static final Map<String, ServerState> STATES = Map.of("ready", ServerState.READY,
        "draining", ServerState.DRAINING, "gone", ServerState.GONE);

    /** An entry for the module, and where this node reaches the server. */
    record Host(ServerEntry entry, InetSocketAddress address) {
    }

    static Roster parse(byte[] json) throws IOException {
        try (JsonParser parser = JSON.createParser(json)) {
            parser.nextToken();
            Roster roster = read(parser);
            if (parser.nextToken() != null) {
                throw new IOException("list: more than one document");
            }
            return roster;
        }
    }

    /** Reads the object that the parser stands on; anything that is not a whole, sound list is an error. */
    static Roster read(JsonParser p) throws IOException {
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
            throw new IOException("list: no seq or no hosts");
        }
        return new Roster(seq, whole, List.copyOf(hosts));
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
            boolean given = p.nextToken() != JsonToken.VALUE_NULL;
            switch (given ? name : "") {
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
            throw new IOException("list: an entry lacks host, dial or health");
        }
        return new Host(new ServerEntry(id, site, block, state, share, Clock.ofMillis(born)),
            dial == null ? null : address(dial));
    }

    /** An address in digits; names are not looked up, as there is no DNS and a look-up would block. */
    static InetSocketAddress address(String text) throws IOException {
        int colon = text.lastIndexOf(':');
        String host = text.substring(0, Math.max(0, colon)).replaceAll("^\\[|\\]$", "");
        byte[] bytes = NetUtil.createByteArrayFromIpAddressString(host);
        int port;
        try {
            port = Integer.parseInt(text.substring(colon + 1));
        } catch (NumberFormatException e) {
            port = -1;
        }
        if (bytes == null || port < 0 || port > 65535) {
            throw new IOException("not an address and port: " + text);
        }
        return new InetSocketAddress(InetAddress.getByAddress(bytes), port);
    }

    private static void expect(JsonParser p, JsonToken token) throws IOException {
        if (p.currentToken() != token) {
            throw new IOException("list: expected " + token + ", not " + p.currentToken());
        }
    }
}
