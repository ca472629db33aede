package onyxpaddle.config;

/**
 * A fault in a file, printed as {@code file:line:column: path: problem; hint}.
 *
 * @param path the keys from the root to the value, joined by dots; empty for the file as a whole
 * @param wrong the problem
 * @param right a hint at a valid value
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
