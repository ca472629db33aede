package onyxpaddle.distribution;

import java.util.Comparator;
import java.util.Set;
import java.util.regex.Pattern;

/**
 * Names an entry: {@code fleet/PATH}, {@code service/NAME/PATH} or {@code node/NAME/PATH}. Only the form is checked here:
 * whether a path is one of a node's configuration is checked where a change is taken, and by each node.
 *
 * @param owner the service's or node's name; empty for the fleet
 * @param path a key at the top of a node's configuration such as {@code routes}, or one named section below it such as
 *     {@code pools.records}
 */
public record EntryKey(Scope scope, String owner, String path) implements Comparable<EntryKey> {
    /** Keys at the top that each node has for itself: what it is, what its machine has, and where it is reached. */
    public static final Set<String> NODE_LOCAL_KEYS = Set.of("version", "name", "limits", "admin", "handover");

    /** The longest text of a key: the scope's word, two names of 63 characters, and a path of two. */
    static final int LONGEST = 256;
    private static final Pattern NAME = Pattern.compile("[a-z0-9](?:[a-z0-9-]{0,61}[a-z0-9])?");
    private static final Pattern PATH = Pattern.compile(NAME.pattern() + "(?:\\." + NAME.pattern() + ")?");
    private static final Comparator<EntryKey> ORDER = Comparator.comparing(EntryKey::scope)
        .thenComparing(EntryKey::owner).thenComparing(EntryKey::path);

    /** @throws IllegalArgumentException with a message for people, where a part does not have its form */
    public EntryKey {
        if (!isOwner(scope, owner)) {
            throw new IllegalArgumentException("`" + Shortened.of(owner) + "` is no name of a " + scope.text()
                + "; lower-case letters, digits and hyphens");
        }
        if (!PATH.matcher(path).matches()) {
            throw new IllegalArgumentException("`" + Shortened.of(path) + "` is no path; such as `routes` or `pools.records`");
        }
    }

    /**
     * Reads the text of a key.
     *
     * @throws IllegalArgumentException with a message for people, where the text is no key
     */
    public static EntryKey parse(String text) {
        String[] parts = text.length() > LONGEST ? new String[0] : text.split("/", -1);
        if (parts.length == 2 && parts[0].equals(Scope.FLEET.text())) {
            return new EntryKey(Scope.FLEET, "", parts[1]);
        }
        if (parts.length == 3 && parts[0].equals(Scope.SERVICE.text())) {
            return new EntryKey(Scope.SERVICE, parts[1], parts[2]);
        }
        if (parts.length == 3 && parts[0].equals(Scope.NODE.text())) {
            return new EntryKey(Scope.NODE, parts[1], parts[2]);
        }
        throw new IllegalArgumentException("`" + Shortened.of(text)
            + "` is no key; `fleet/PATH`, `service/NAME/PATH` or `node/NAME/PATH`");
    }

    /** Whether a text can name a service or a node. */
    public static boolean isName(String text) {
        return NAME.matcher(text).matches();
    }

    private static boolean isOwner(Scope scope, String owner) {
        return scope == Scope.FLEET ? owner.isEmpty() : isName(owner);
    }

    /** The key at the top of the configuration that the path begins with. */
    public String topKey() {
        int dot = path.indexOf('.');
        return dot < 0 ? path : path.substring(0, dot);
    }

    /** The name of the section below {@link #topKey}, or null where the entry is all of it. */
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
