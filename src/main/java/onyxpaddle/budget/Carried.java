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
 * What goes with a request from node to node, in the field {@code X-Budget}: a dictionary of RFC 8941, section 3.2, with
 * integers, decimals and strings only. Members that aren't known are passed over.
 *
 * @param id of the first request, the same for all that comes of it
 * @param from the attempt it was sent with, as the node that made it calls it; empty at the edge
 * @param attempts for all of the tree below, this one included
 * @param worth what an answer is worth; NaN where nothing is said
 * @param depth how many nodes it has passed
 * @param path their names, the newest last; older ones may have been dropped
 */
public record Carried(String id, String from, int attempts, double worth, int depth, List<String> path) {
    public static final String FIELD = "X-Budget";
    /** On answers: how many attempts of the share were used. */
    public static final String USED = "X-Budget-Used";
    /** Names of a path that are kept: loops of as many nodes are found by it. */
    public static final int LONGEST_PATH = 16;
    private static final int LONGEST_FIELD = 1024;
    private static final int MOST_ATTEMPTS = 1_000_000;
    private static final int DEEPEST = 1_000_000;
    private static final Pattern NAME = Pattern.compile("[A-Za-z0-9._-]{1,64}");
    /** RFC 8941, 3.1.2: a key; a decimal or integer; a string, of which none here needs an escape. */
    private static final Pattern MEMBER = Pattern.compile(
        "([a-z*][a-z0-9_.*-]{0,63})=(?:(-?[0-9]{1,12}(?:\\.[0-9]{1,3})?)|\"([ !#-\\[\\]-~]*)\")");

    public Carried {
        path = List.copyOf(path);
    }

    /** What is wrong with a field, for its sender. */
    public static final class MalformedFieldException extends Exception {
        private static final long serialVersionUID = 1;

        MalformedFieldException(String wrong) {
            super(FIELD + ": " + wrong, null, false, false);
        }
    }

    /**
     * Reads the field's lines. Where an application has doubled it, or joined several requests' into one, the most
     * careful reading holds: the least attempts and worth, the greatest depth, all the names. Two ids are a fault.
     * Null where there are no lines.
     */
    public static Carried read(List<String> lines) throws MalformedFieldException {
        Carried all = null;
        for (String line : lines) {
            Carried one = read(line);
            all = all == null ? one : all.with(one);
        }
        return all;
    }

    private static Carried read(String line) throws MalformedFieldException {
        if (line.length() > LONGEST_FIELD) {
            throw new MalformedFieldException(line.length() + " characters; at most " + LONGEST_FIELD + " are taken");
        }
        Map<String, String> members = new LinkedHashMap<>();
        Carried before = null;
        int at = 0;
        Matcher member = MEMBER.matcher(line);
        while (true) {
            while (at < line.length() && (line.charAt(at) == ' ' || line.charAt(at) == '\t')) {
                at++;
            }
            if (!member.find(at) || member.start() != at) {
                throw new MalformedFieldException("no member at character " + (at + 1) + "; `name=1` or `name=\"text\"` is expected");
            }
            if (members.containsKey(member.group(1))) {
                // Lines that were joined by a comma (RFC 9110, 5.3): the next begins where a name comes again.
                Carried one = of(members);
                before = before == null ? one : before.with(one);
                members.clear();
            }
            members.put(member.group(1), member.group(2) != null ? member.group(2) : "\"" + member.group(3));
            at = member.end();
            while (at < line.length() && (line.charAt(at) == ' ' || line.charAt(at) == '\t')) {
                at++;
            }
            if (at == line.length()) {
                Carried one = of(members);
                return before == null ? one : before.with(one);
            }
            if (line.charAt(at++) != ',') {
                throw new MalformedFieldException("a comma is expected at character " + at);
            }
        }
    }

    private static Carried of(Map<String, String> members) throws MalformedFieldException {
        String id = name(members, "id", null);
        List<String> path = new ArrayList<>();
        String names = text(members, "path");
        if (names != null && !names.isEmpty()) {
            for (String name : names.split(" ")) {
                if (!NAME.matcher(name).matches()) {
                    throw new MalformedFieldException("`path` holds names apart by single spaces");
                }
                path.add(name);
            }
        }
        double worth = members.containsKey("w") ? number(members, "w", 0, 1e9) : Double.NaN;
        return new Carried(id, name(members, "from", ""), (int) whole(members, "a", MOST_ATTEMPTS), worth,
            Math.max(members.containsKey("d") ? (int) whole(members, "d", DEEPEST) : 0, path.size()), newest(path));
    }

    private static String text(Map<String, String> members, String key) throws MalformedFieldException {
        String value = members.get(key);
        if (value != null && !value.startsWith("\"")) {
            throw new MalformedFieldException("`" + key + "` is a text in quotes");
        }
        return value == null ? null : value.substring(1);
    }

    private static String name(Map<String, String> members, String key, String usual) throws MalformedFieldException {
        String value = text(members, key);
        if (value == null && usual != null) {
            return usual;
        }
        if (value == null || !NAME.matcher(value).matches()) {
            throw new MalformedFieldException("`" + key + "` is a name of 1 to 64 letters, digits, `.`, `_` and `-`");
        }
        return value;
    }

    private static double number(Map<String, String> members, String key, double least, double most)
            throws MalformedFieldException {
        String value = members.get(key);
        double number = value == null || value.startsWith("\"") ? Double.NaN : Double.parseDouble(value);
        if (!(number >= least && number <= most)) {
            throw new MalformedFieldException("`" + key + "` is a number from " + (long) least + " to " + (long) most);
        }
        return number;
    }

    private static double whole(Map<String, String> members, String key, double most) throws MalformedFieldException {
        double number = number(members, key, 0, most);
        if (number != Math.rint(number)) {
            throw new MalformedFieldException("`" + key + "` is a whole number");
        }
        return number;
    }

    /** The most careful reading of two. */
    private Carried with(Carried other) throws MalformedFieldException {
        if (!id.equals(other.id)) {
            throw new MalformedFieldException("two requests' at once: `id` is " + id + " and " + other.id);
        }
        Set<String> names = new HashSet<>(path);
        List<String> both = new ArrayList<>(path);
        other.path.stream().filter(n -> !names.contains(n)).forEach(both::add);
        double least = Double.isNaN(worth) || other.worth < worth ? other.worth : worth;
        return new Carried(id, from.equals(other.from) ? from : "", Math.min(attempts, other.attempts), least,
            Math.max(depth, other.depth), newest(both));
    }

    private static List<String> newest(List<String> path) {
        return path.size() <= LONGEST_PATH ? path : path.subList(path.size() - LONGEST_PATH, path.size());
    }

    /** As it goes on from a node of that name with an attempt that is called so. */
    public Carried onward(String node, String attempt, int share, double worthNow) {
        List<String> longer = new ArrayList<>(path);
        longer.add(node);
        return new Carried(id, attempt, share, worthNow, depth + 1, newest(longer));
    }

    /** The field's text. */
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
