package onyxpaddle.config;

/** A position in a file. Lines and columns count from 1; line 0 denotes the file as a whole. */
public record Place(String file, int line, int column) implements Comparable<Place> {
    public static Place of(String file) {
        return new Place(file, 0, 0);
    }

    @Override
    public int compareTo(Place other) {
        int byFile = file.compareTo(other.file);
        int byLine = Integer.compare(line, other.line);
        return byFile != 0 ? byFile : byLine != 0 ? byLine : Integer.compare(column, other.column);
    }

    @Override
    public String toString() {
        return line == 0 ? file : file + ":" + line + ":" + column;
    }
}
