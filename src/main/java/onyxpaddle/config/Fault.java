package onyxpaddle.config;

/**
 * One thing that is wrong with a file: {@code file:line:column: path: what is wrong; what would be right}.
 *
 * @param path the keys that lead there, joined by dots, empty for the file as a whole
 */
public record Fault(Place place, String path, String wrong, String right) implements Comparable<Fault> {
    @Override
    public int compareTo(Fault other) {
        int byPlace = place.compareTo(other.place);
        return byPlace != 0 ? byPlace : toString().compareTo(other.toString());
    }

    @Override
    public String toString() {
        return place + ": " + (path.isEmpty() ? "" : path + ": ") + wrong + "; " + right;
    }
}
