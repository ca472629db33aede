package onyxpaddle.route;

/**
 * Which remote procedures go to which pool, as what class.
 *
 * @param name what people call it
 * @param listener the listener it belongs to
 * @param pattern the procedure's name, or the start of the names of several and {@code *}
 * @param path the path by which servers that speak HTTP are asked; below it, with a slash, what stands for the {@code
 *     *}; null where it goes to servers of its own protocol only
 */
public record Procedure(String name, String listener, String pattern, String pool, String requestClass, String path) {
    boolean prefix() {
        return pattern.endsWith("*");
    }

    String start() {
        return pattern.substring(0, pattern.length() - 1);
    }

    /** The path for a procedure of that name; null for none. */
    public String mapped(String procedure) {
        if (path == null || !prefix()) {
            return path;
        }
        return (path.equals("/") ? "" : path) + "/" + procedure.substring(start().length());
    }
}
