package onyxpaddle.budget;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * The header {@code X-Budget}, which a request carries from node to node: a dictionary (RFC 8941, 3.2) of integers, decimals and strings
 * only. Unknown members are ignored.
 *
 * @param id of the original request, the same for all requests that result from it
 * @param from the name that the sending node gave the attempt; empty at the edge
 * @param attempts allowed in the whole tree of calls below, this one included
 * @param worth of an answer; NaN where it is not given
 * @param depth the number of nodes passed
 * @param path the names of these nodes, newest last; older ones may have been dropped
 */
public record BudgetHeader(String id, String from, int attempts, double worth, int depth, List<String> path) {
    public static final String NAME = "X-Budget";
    /** On answers: the number of attempts of the share that were used. */
    public static final String USED = "X-Budget-Used";
    /** The names of a path that are kept: loops of up to as many nodes can be detected. */
    public static final int MAX_PATH_LENGTH = 16;
    private static final int MAX_LINE_LENGTH = 1024;
    private static final int MAX_ATTEMPTS = 1_000_000;
    private static final int MAX_DEPTH = 1_000_000;
    private static final Pattern TOKEN = Pattern.compile("[A-Za-z0-9._-]{1,64}");
    /** A member (RFC 8941, 3.1.2): a key, and a decimal, an integer or a string without escapes. */
    private static final Pattern MEMBER = Pattern.compile(
        "([a-z*][a-z0-9_.*-]{0,63})=(?:(-?[0-9]{1,12}(?:\\.[0-9]{1,3})?)|\"([ !#-\\[\\]-~]*)\")");

    public BudgetHeader {
        path = List.copyOf(path);
    }

    /** A header that can't be parsed; the message is for its sender. */
    public static final class MalformedHeaderException extends Exception {
        private static final long serialVersionUID = 1;

        MalformedHeaderException(String fault) {
            super(NAME + ": " + fault, null, false, false);
        }
    }

    /**
     * Parses the header's lines. Where an application has duplicated the header, or merged the headers of several requests, the most
     * conservative values apply: the smallest attempts and worth, the greatest depth, all node names. Different ids are an error. Null
     * where there are no lines.
     */
    public static BudgetHeader parse(List<String> lines) throws MalformedHeaderException {
        BudgetHeader merged = null;
        for (String line : lines) {
            BudgetHeader header = parse(line);
            merged = merged == null ? header : merged.mergedWith(header);
        }
        return merged;
    }

    private static BudgetHeader parse(String line) throws MalformedHeaderException {
        if (line.length() > MAX_LINE_LENGTH) {
            throw new MalformedHeaderException(line.length() + " characters; at most " + MAX_LINE_LENGTH + " are allowed");
        }
        Map<String, String> members = new LinkedHashMap<>();
        BudgetHeader merged = null;
        int at = 0;
        Matcher member = MEMBER.matcher(line);
        while (true) {
            while (at < line.length() && (line.charAt(at) == ' ' || line.charAt(at) == '\t')) {
                at++;
            }
            if (!member.find(at) || member.start() != at) {
                throw new MalformedHeaderException("no member at character " + (at + 1) + "; expected `name=1` or `name=\"text\"`");
            }
            if (members.containsKey(member.group(1))) {
                // Lines may have been joined by a comma (RFC 9110, 5.3): a repeated key begins the next one.
                BudgetHeader header = of(members);
                merged = merged == null ? header : merged.mergedWith(header);
                members.clear();
            }
            members.put(member.group(1), member.group(2) != null ? member.group(2) : "\"" + member.group(3));
            at = member.end();
            while (at < line.length() && (line.charAt(at) == ' ' || line.charAt(at) == '\t')) {
                at++;
            }
            if (at == line.length()) {
                BudgetHeader header = of(members);
                return merged == null ? header : merged.mergedWith(header);
            }
            if (line.charAt(at++) != ',') {
                throw new MalformedHeaderException("expected a comma at character " + at);
            }
        }
    }

    private static BudgetHeader of(Map<String, String> members) throws MalformedHeaderException {
        String id = name(members, "id", null);
        List<String> path = new ArrayList<>();
        String names = text(members, "path");
        if (names != null && !names.isEmpty()) {
            for (String name : names.split(" ")) {
                if (!TOKEN.matcher(name).matches()) {
                    throw new MalformedHeaderException("`path` must hold names separated by single spaces");
                }
                path.add(name);
            }
        }
        double worth = members.containsKey("w") ? number(members, "w", 0, 1e9) : Double.NaN;
        return new BudgetHeader(id, name(members, "from", ""), (int) integer(members, "a", MAX_ATTEMPTS), worth,
            Math.max(members.containsKey("d") ? (int) integer(members, "d", MAX_DEPTH) : 0, path.size()), newest(path));
    }

    private static String text(Map<String, String> members, String key) throws MalformedHeaderException {
        String value = members.get(key);
        if (value != null && !value.startsWith("\"")) {
            throw new MalformedHeaderException("`" + key + "` must be a quoted string");
        }
        return value == null ? null : value.substring(1);
    }

    private static String name(Map<String, String> members, String key, String fallback) throws MalformedHeaderException {
        String value = text(members, key);
        if (value == null && fallback != null) {
            return fallback;
        }
        if (value == null || !TOKEN.matcher(value).matches()) {
            throw new MalformedHeaderException("`" + key + "` must be a name of 1 to 64 letters, digits, `.`, `_` and `-`");
        }
        return value;
    }

    private static double number(Map<String, String> members, String key, double min, double max)
            throws MalformedHeaderException {
        String value = members.get(key);
        double number = value == null || value.startsWith("\"") ? Double.NaN : Double.parseDouble(value);
        if (!(number >= min && number <= max)) {
            throw new MalformedHeaderException("`" + key + "` must be a number from " + (long) min + " to " + (long) max);
        }
        return number;
    }

    private static double integer(Map<String, String> members, String key, double max) throws MalformedHeaderException {
        double number = number(members, key, 0, max);
        if (number != Math.rint(number)) {
            throw new MalformedHeaderException("`" + key + "` must be an integer");
        }
        return number;
    }

    /** The most conservative values of two headers. */
    private BudgetHeader mergedWith(BudgetHeader other) throws MalformedHeaderException {
        if (!id.equals(other.id)) {
            throw new MalformedHeaderException("headers of two requests: `id` is " + id + " and " + other.id);
        }
        Set<String> names = new HashSet<>(path);
        List<String> allNames = new ArrayList<>(path);
        other.path.stream().filter(n -> !names.contains(n)).forEach(allNames::add);
        double lowerWorth = Double.isNaN(worth) || other.worth < worth ? other.worth : worth;
        return new BudgetHeader(id, from.equals(other.from) ? from : "", Math.min(attempts, other.attempts), lowerWorth,
            Math.max(depth, other.depth), newest(allNames));
    }

    private static List<String> newest(List<String> path) {
        return path.size() <= MAX_PATH_LENGTH ? path : path.subList(path.size() - MAX_PATH_LENGTH, path.size());
    }

    /** The header that this node sends on with an attempt of this name. */
    public BudgetHeader forAttempt(String node, String attempt, int share, double worthNow) {
        List<String> extended = new ArrayList<>(path);
        extended.add(node);
        return new BudgetHeader(id, attempt, share, worthNow, depth + 1, newest(extended));
    }

    /** Formats the header's value. */
    public String text() {
        StringBuilder text = new StringBuilder("id=\"").append(id).append('"');
        if (!from.isEmpty()) {
            text.append(", from=\"").append(from).append('"');
        }
        text.append(", a=").append(attempts);
        if (!Double.isNaN(worth)) {
            String number = String.format(Locale.ROOT, "%.3f", worth);
            text.append(", w=").append(number.replaceAll("\\.?0+$", ""));
        }
        text.append(", d=").append(depth);
        if (!path.isEmpty()) {
            text.append(", path=\"").append(String.join(" ", path)).append('"');
        }
        return text.toString();
    }
}
