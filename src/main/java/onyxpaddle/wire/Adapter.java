package onyxpaddle.wire;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import onyxpaddle.BalancerApi.*;
import onyxpaddle.FlatSettings;
import onyxpaddle.RatioBalancer;

/** Parses batches, passes their events to one {@link RatioBalancer} per instance and prints its actions. */
final class Adapter {
    private static final Map<String, Outcome> OUTCOMES = Map.of("Ok", Outcome.OK, "Failed", Outcome.ERROR,
        "QueueFull", Outcome.FULL, "TimedOut", Outcome.TIMED_OUT, "ConnectError", Outcome.CONNECT_FAILED,
        "ResetByPeer", Outcome.RESET, "Canceled", Outcome.CANCELLED, "Ignored", Outcome.NOT_SENT);
    private static final Map<String, ListKind> LIST_KINDS = Map.of("changes", ListKind.CHANGES,
        "all", ListKind.ALL, "remembered", ListKind.CACHED, "refused", ListKind.REFUSED);
    private static final Map<String, ServerState> STATES = Map.of("U", ServerState.READY,
        "L", ServerState.DRAINING, "D", ServerState.GONE);
    private static final int HINT_VALID = 1;
    private static final int CLIENT_RETRY = 2;

    private final BufferedReader in;
    private final OutputStream out;
    private final Map<Integer, RatioBalancer> instances = new HashMap<>();
    private final Map<Integer, List<ServerEntry>> lists = new HashMap<>();
    private final StringBuilder reply = new StringBuilder();
    private long lineNumber;
    private long now;

    Adapter(InputStream in, OutputStream out) {
        this.in = new BufferedReader(new InputStreamReader(in, StandardCharsets.UTF_8), 1 << 16);
        this.out = out;
    }

    /** Handles batches until the input ends. */
    void run() throws IOException {
        for (FieldReader fields = readFields(); fields != null; fields = readFields()) {
            if (!fields.name().equals("BATCH")) {
                throw fields.malformed("expected BATCH, not " + fields.name());
            }
            now = fields.time();
            String number = fields.text();
            readBatch();
            reply.append("YIELD ").append(number).append('\n');
            out.write(reply.toString().getBytes(StandardCharsets.UTF_8));
            out.flush();
            reply.setLength(0);
        }
    }

    private void readBatch() throws IOException {
        while (true) {
            FieldReader fields = readFields();
            if (fields == null) {
                throw new MalformedLineException(lineNumber, "input ended inside a batch");
            }
            switch (fields.name()) {
                case "COMMIT" -> {
                    return;
                }
                case "POOL" -> readList(fields);
                case "BEGIN" -> beginInstance(fields);
                case "RETIRE" -> instances.remove(fields.integer());
                default -> {
                    int instance = fields.integer();
                    Event event = parseEvent(fields);
                    if (event != null) {
                        deliver(instance, event);
                    }
                }
            }
        }
    }

    private void beginInstance(FieldReader fields) {
        int instance = fields.integer();
        long seed = fields.longInteger();
        instances.remove(instance);
        try {
            instances.put(instance, new RatioBalancer(new FlatSettings(parsePairs(fields)).settings(), seed));
        } catch (FlatSettings.MalformedSettingException e) {
            throw fields.malformed(e.getMessage());
        } catch (IllegalArgumentException e) {
            reportFault(instance, e);
        }
    }

    private static Map<String, String> parsePairs(FieldReader fields) {
        Map<String, String> pairs = new HashMap<>();
        while (fields.hasMore()) {
            String pair = fields.text();
            int equals = pair.indexOf('=');
            if (equals <= 0) {
                throw fields.malformed("expected a setting KEY=VALUE: " + pair);
            }
            pairs.put(pair.substring(0, equals), pair.substring(equals + 1));
        }
        return pairs;
    }

    /** The event of a line, or null for a message that the balancer does not use. */
    private Event parseEvent(FieldReader f) {
        return switch (f.name()) {
            case "INGRESS" -> {
                String request = f.text();
                int options = f.optionalInteger();
                double hint = f.optionalNumber();
                f.text();
                String requestClass = f.text();
                long deadline = f.time();
                String tenant = f.optionalText();
                yield new Arrival(request, requestClass, deadline, "0".equals(tenant) ? null : tenant,
                    (options & HINT_VALID) != 0 ? hint : 0, (options & CLIENT_RETRY) != 0);
            }
            case "ENDED" -> new AttemptEnded(f.text(), f.integer(), f.text(), f.choice(OUTCOMES), f.time(), f.bool(),
                f.numbers());
            case "FIRST_BYTE" -> new FirstByte(f.text(), f.integer(), f.text(), f.time());
            case "CLIENT_LEFT" -> new ClientGone(f.text());
            case "WAKE" -> new Timer(f.text());
            case "HEALTH" -> new Probed(f.text(), f.choice(OUTCOMES), f.time(), f.numbers());
            case "NOTE_FROM" -> null;
            case "ROSTER_CHANGE" -> {
                ListKind kind = f.choice(LIST_KINDS);
                f.text();
                List<ServerEntry> entries = List.of();
                if (kind != ListKind.REFUSED) {
                    entries = lists.get(f.integer());
                    if (entries == null) {
                        throw f.malformed("unknown list number");
                    }
                }
                yield new Membership(kind, entries);
            }
            default -> throw f.malformed("unknown message " + f.name());
        };
    }

    private void deliver(int instance, Event event) {
        RatioBalancer balancer = instances.get(instance);
        if (balancer == null) {
            return;
        }
        int replyLength = reply.length();
        try {
            for (Action action : balancer.handle(now, event)) {
                writeAction(instance, action);
            }
        } catch (RuntimeException e) {
            reply.setLength(replyLength);
            reportFault(instance, e);
        }
    }

    private void reportFault(int instance, RuntimeException e) {
        startLine("GIVE_IN", instance).append(' ').append(e.toString().replaceAll("\\s+", " ")).append('\n');
    }

    private void writeAction(int instance, Action action) {
        if (action instanceof Send send) {
            startLine("SEND", instance).append(' ').append(send.request()).append(' ');
            appendSeconds(send.timeout()).append(' ').append(send.server());
        } else if (action instanceof SetTimer timer) {
            startLine("ARM", instance).append(' ');
            appendSeconds(timer.after()).append(' ').append(timer.token());
        } else if (action instanceof Cancel cancel) {
            startLine("ABORT_ATTEMPT", instance).append(' ').append(cancel.request()).append(' ')
                .append(cancel.attempt());
        } else if (action instanceof Refuse refuse) {
            startLine("OVERLOAD_REPLY", instance).append(' ').append(refuse.request()).append(' ');
            appendSeconds(refuse.retryAfter());
        } else if (action instanceof Fail fail) {
            startLine("FINISH_ERROR", instance).append(' ').append(fail.request());
        } else if (action instanceof Subscribe) {
            startLine("STREAM_CHANGES", instance).append(" 1");
        } else if (action instanceof Report report) {
            startLine("NOTE_DOWN", instance).append(' ').append(report.text());
        }
        reply.append('\n');
    }

    private StringBuilder startLine(String name, int instance) {
        return reply.append(name).append(' ').append(instance);
    }

    /** Appends a span in seconds, rounded up to the wire's microseconds so that no timer fires early. */
    private StringBuilder appendSeconds(long nanos) {
        long micros = (nanos + 999) / 1000;
        String fraction = Long.toString(1_000_000 + micros % 1_000_000).substring(1);
        return reply.append(micros / 1_000_000).append('.').append(fraction);
    }

    private void readList(FieldReader head) throws IOException {
        int number = head.integer();
        int count = head.integer();
        List<ServerEntry> entries = new ArrayList<>(count);
        for (int i = 0; i < count; i++) {
            FieldReader f = readFields();
            if (f == null || !f.name().equals("M")) {
                throw new MalformedLineException(lineNumber, "expected a list entry, M");
            }
            String server = f.text();
            String zone = f.text();
            f.text();
            long cell = f.optionalInteger();
            entries.add(new ServerEntry(server, zone, cell, f.choice(STATES), f.optionalNumber(), f.optionalTime()));
        }
        lists.put(number, List.copyOf(entries));
    }

    private FieldReader readFields() throws IOException {
        String line = in.readLine();
        if (line == null) {
            return null;
        }
        return new FieldReader(line, ++lineNumber);
    }
}
