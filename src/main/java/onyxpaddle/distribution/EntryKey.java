package onyxpaddle.distribution;

import java.util.Comparator;
import java.util.Set;
import java.util.regex.Pattern;

/**
 * Identifies an entry: {@code fleet/PATH}, {@code service/NAME/PATH} or {@code node/NAME/PATH}. Only the syntax is checked
 * here; whether the path exists in a node's configuration is checked when a change is accepted and by each node.
 *
 * @param owner the name of the service or node; empty for the fleet
 * @param path a top-level key of a node's configuration such as {@code routes}, or a named section below it such as
 *     {@code pools.records}
 */
public record EntryKey(Scope scope, String owner, String path) implements Comparable<EntryKey> {
    /**
     * Top-level keys that are local to each node and are not distributed: its identity, its machine's limits and its own
     * addresses.
     */
    public static final Set<String> NODE_LOCAL_KEYS = Set.of("version", "name", "limits", "admin", "handover");

    /**
     * Maximum length of a key's text; the longest valid key has the scope, a name of 63 characters and a path of two such
     * names.
     */
    static final int MAX_LENGTH = 256;
    private static final Pattern NAME = Pattern.compile("[a-z0-9](?:[a-z0-9-]{0,61}[a-z0-9])?");
    private static final Pattern PATH = Pattern.compile(NAME.pattern() + "(?:\\." + NAME.pattern() + ")?");
    private static final Comparator<EntryKey> ORDER = Comparator.comparing(EntryKey::scope)
        .thenComparing(EntryKey::owner).thenComparing(EntryKey::path);

    /** @throws IllegalArgumentException with a message for users, if a part has invalid syntax */
    public EntryKey {
        if (!isValidOwner(scope, owner)) {
            throw new IllegalArgumentException("`" + Excerpt.of(owner) + "` is not a valid " + scope.text()
                + " name; use lower-case letters, digits and hyphens");
        }
        if (!PATH.matcher(path).matches()) {
            throw new IllegalArgumentException("`" + Excerpt.of(path)
                + "` is not a valid path, expected for example `routes` or `pools.records`");
        }
    }

    /**
     * Parses the text form of a key.
     *
     * @throws IllegalArgumentException with a message for users, if the text is not a key
     */
    public static EntryKey parse(String text) {
        String[] parts = text.length() > MAX_LENGTH ? new String[0] : text.split("/", -1);
        if (parts.length == 2 && parts[0].equals(Scope.FLEET.text())) {
            return new EntryKey(Scope.FLEET, "", parts[1]);
        }
        if (parts.length == 3 && parts[0].equals(Scope.SERVICE.text())) {
            return new EntryKey(Scope.SERVICE, parts[1], parts[2]);
        }
        if (parts.length == 3 && parts[0].equals(Scope.NODE.text())) {
            return new EntryKey(Scope.NODE, parts[1], parts[2]);
        }
        throw new IllegalArgumentException("`" + Excerpt.of(text)
            + "` is not a key, expected `fleet/PATH`, `service/NAME/PATH` or `node/NAME/PATH`");
    }

    /** Whether a text is a valid name of a service or node. */
    public static boolean isName(String text) {
        return NAME.matcher(text).matches();
    }

    private static boolean isValidOwner(Scope scope, String owner) {
        return scope == Scope.FLEET ? owner.isEmpty() : isName(owner);
    }

    /** The top-level configuration key of the path. */
    public String topKey() {
        int dot = path.indexOf('.');
        return dot < 0 ? path : path.substring(0, dot);
    }

    /** The named section below {@link #topKey}, or {@code null} if the entry covers the whole key. */
    public String sectionName() {
        int dot = path.indexOf('.');
        return dot < 0 ? null : path.substring(dot + 1);
    }

    @Override
    public int compareTo(EntryKey other) {
        return ORDER.compare(this, other);
    }

    @Override
    public String toString() {
        return scope == Scope.FLEET ? scope.text() + "/" + path : scope.text() + "/" + owner + "/" + path;
    }
}
