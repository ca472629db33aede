package onyxpaddle.scale;

import java.util.Arrays;
import java.util.Locale;
import java.util.stream.Collectors;

/** A fault that a run puts in on purpose, to show that its verdict changes. It sits in the stand-in or in a hollow node, never in production code. */
public enum SeededFault {
    NONE,
    /** The list service answers every watch with a whole list. */
    WHOLE_LISTS,
    /** The list service answers every watch at once, also if nothing changed. */
    NO_WAIT,
    /** Hollow nodes call again all in the same moment after a failed call. */
    HERD;

    /** As operators word it: {@code whole-lists}. */
    public String word() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    /** The fault of that word; an {@link IllegalArgumentException} that names all words where there is none. */
    public static SeededFault of(String word) {
        return Arrays.stream(values()).filter(fault -> fault.word().equals(word)).findFirst().orElseThrow(() ->
            new IllegalArgumentException("no fault `" + word + "`; there are "
                + Arrays.stream(values()).map(SeededFault::word).collect(Collectors.joining(", "))));
    }
}
