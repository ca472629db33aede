package onyxpaddle.membership;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import onyxpaddle.membership.ListUpdate.InvalidEntry;
import onyxpaddle.node.ServerList.Host;

/** Parses lists of servers in the format of the platform's discovery. */
public final class RosterJson {
    public static final JsonFactory JSON = new JsonFactory();

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

    /** Reads the parser's current object; throws if it is not a list. Entries that are not valid are returned as such. */
    public static ListUpdate read(JsonParser p) throws IOException {
        long seq = -1;
        boolean whole = false;
        List<Host> hosts = null;
        List<InvalidEntry> invalid = new ArrayList<>();
        expect(p, JsonToken.START_OBJECT);
        while (p.nextToken() != JsonToken.END_OBJECT) {
            String name = p.currentName();
            p.nextToken();
            switch (name) {
                case "seq" -> seq = p.getLongValue();
                case "whole" -> whole = p.getBooleanValue();
                case "hosts" -> hosts = hosts(p, invalid);
                default -> p.skipChildren();
            }
        }
        if (seq < 0 || hosts == null) {
            throw new IOException("list: seq or hosts missing");
        }
        return new ListUpdate(seq, whole, hosts, invalid);
    }

    private static List<Host> hosts(JsonParser p, List<InvalidEntry> invalid) throws IOException {
        List<Host> hosts = new ArrayList<>();
        expect(p, JsonToken.START_ARRAY);
        while (p.nextToken() != JsonToken.END_ARRAY) {
            EntryReader entry = new EntryReader();
            entry.read(p);
            Host host = entry.host();
            if (host != null) {
                hosts.add(host);
            } else {
                invalid.add(entry.invalid());
            }
        }
        return hosts;
    }

    private static void expect(JsonParser p, JsonToken token) throws IOException {
        if (p.currentToken() != token) {
            throw new IOException("list: expected " + token + ", got " + p.currentToken());
        }
    }
}
