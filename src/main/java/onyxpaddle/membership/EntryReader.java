package onyxpaddle.membership;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.exc.InputCoercionException;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.Objects;
import onyxpaddle.BalancerApi.ServerEntry;
import onyxpaddle.BalancerApi.ServerState;
import onyxpaddle.membership.ListUpdate.InvalidEntry;
import onyxpaddle.node.Addresses;
import onyxpaddle.node.Clock;
import onyxpaddle.node.ServerList.Host;

/** Reads one entry of a list. A value that is not valid makes this entry invalid, and not the list. */
final class EntryReader {
    private static final Map<String, ServerState> STATES = Map.of("ready", ServerState.READY,
        "draining", ServerState.DRAINING, "gone", ServerState.GONE);

    private String server;
    private String dial;
    private String site = "";
    private long block;
    private String health;
    private double share = 1;
    private long bornMs;
    private InetSocketAddress address;
    /** What is wrong with the entry; null for nothing. */
    private String fault;

    /** Reads the parser's current value to its end; throws if the document itself is broken. */
    void read(JsonParser p) throws IOException {
        if (p.currentToken() != JsonToken.START_OBJECT) {
            fault = "not an object";
            p.skipChildren();
            return;
        }
        while (p.nextToken() != JsonToken.END_OBJECT) {
            String name = p.currentName();
            if (p.nextToken() != JsonToken.VALUE_NULL) {
                readField(name, p);
            }
            p.skipChildren();
        }
        validate();
    }

    private void readField(String name, JsonParser p) throws IOException {
        try {
            switch (name) {
                case "host" -> server = unrepeated(server, text(name, p), name);
                case "dial" -> dial = unrepeated(dial, text(name, p), name);
                case "health" -> health = unrepeated(health, text(name, p), name);
                case "site" -> site = text(name, p);
                case "block" -> block = isNumber(name, p) ? p.getLongValue() : 0;
                case "share" -> share = isNumber(name, p) ? p.getDoubleValue() : 1;
                case "born_ms" -> bornMs = isNumber(name, p) ? p.getLongValue() : 0;
                default -> { }
            }
        } catch (InputCoercionException e) {
            fault = name + " is out of range";
        }
    }

    private String text(String name, JsonParser p) throws IOException {
        if (p.currentToken() == JsonToken.VALUE_STRING) {
            return p.getText();
        }
        fault = name + " is not a string";
        return null;
    }

    private boolean isNumber(String name, JsonParser p) {
        if (p.currentToken().isNumeric()) {
            return true;
        }
        fault = name + " is not a number";
        return false;
    }

    private String unrepeated(String before, String value, String name) {
        if (before != null && !before.equals(value)) {
            fault = name + " is repeated with another value";
        }
        return value;
    }

    private void validate() {
        if (fault != null) {
            return;
        }
        if (server == null || server.isEmpty()) {
            fault = "host is missing";
        } else if (health == null) {
            fault = "health is missing";
        } else if (!STATES.containsKey(health)) {
            fault = "health is unknown: " + health;
        } else if (dial == null && STATES.get(health) != ServerState.GONE) {
            fault = "dial is missing";
        } else if (dial != null) {
            readAddress();
        }
    }

    private void readAddress() {
        try {
            address = Addresses.parse(dial);
        } catch (IOException e) {
            fault = "dial: " + e.getMessage();
        }
    }

    /** The entry; null if it is invalid. */
    Host host() {
        return fault != null ? null : new Host(new ServerEntry(server, Objects.requireNonNullElse(site, ""), block, STATES.get(health), share,
            Clock.ofMillis(bornMs)), address);
    }

    /** The entry, which is invalid, and the reason. */
    InvalidEntry invalid() {
        return new InvalidEntry(server, fault);
    }
}
