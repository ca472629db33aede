package onyxpaddle.route;

/**
 * Assigns the remote procedures that match a pattern to a pool and a class.
 *
 * @param name the entry's name in the configuration
 * @param pattern a procedure's full name, or a prefix of names followed by {@code *}
 * @param path the path for servers that speak HTTP; for a prefix pattern, a slash and the part of the name that matched {@code
 *     *} are appended; null if calls go to MessagePack-RPC servers only
 */
public record Procedure(String name, String listener, String pattern, String pool, String requestClass, String path) {
    boolean isPrefix() {
        return pattern.endsWith("*");
    }

    String prefix() {
        return pattern.substring(0, pattern.length() - 1);
    }

    /** The HTTP path for a procedure of this name; null for none. */
    public String mapped(String procedure) {
        if (path == null || !isPrefix()) {
            return path;
        }
        return (path.equals("/") ? "" : path) + "/" + procedure.substring(prefix().length());
    }
}
