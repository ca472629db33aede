package onyxpaddle.distribution;

import java.util.Comparator;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Which state of the configuration something holds: the epoch of the publisher that made it, and its number. Numbers go on
 * rising over epochs, so that epoch 2 begins at the number after the last one that its publisher took over.
 *
 * @param epoch 0 for {@link #NONE} only, at most {@link #MAX}
 * @param number from 0 to {@link #MAX}
 */
public record ConfigurationVersion(long epoch, long number) implements Comparable<ConfigurationVersion> {
    /** The largest epoch and number: 15 digits, which JSON readers of all languages hold exactly. */
    public static final long MAX = 999_999_999_999_999L;
    /** Before the first version: nothing is known. */
    public static final ConfigurationVersion NONE = new ConfigurationVersion(0, 0);

    private static final Pattern TEXT = Pattern.compile("([0-9]{1,15})\\.([0-9]{1,15})");
    private static final Comparator<ConfigurationVersion> ORDER =
        Comparator.comparingLong(ConfigurationVersion::epoch).thenComparingLong(ConfigurationVersion::number);

    /** @throws IllegalArgumentException for what is out of bounds, or a number without an epoch */
    public ConfigurationVersion {
        boolean within = epoch >= 0 && epoch <= MAX && number >= 0 && number <= MAX;
        if (!within || epoch == 0 && number != 0) {
            throw new IllegalArgumentException("no version: epoch " + epoch + ", number " + number);
        }
    }

    /**
     * Reads {@code E.N}.
     *
     * @throws IllegalArgumentException with a message for people, where the text is no version
     */
    public static ConfigurationVersion parse(String text) {
        Matcher matcher = TEXT.matcher(text);
        if (!matcher.matches()) {
            throw new IllegalArgumentException("`" + Shortened.of(text) + "` is no version; such as `1.42`");
        }
        return new ConfigurationVersion(Long.parseLong(matcher.group(1)), Long.parseLong(matcher.group(2)));
    }

    /** Whether this one comes later than the other. */
    public boolean isAfter(ConfigurationVersion other) {
        return compareTo(other) > 0;
    }

    @Override
    public int compareTo(ConfigurationVersion other) {
        return ORDER.compare(this, other);
    }

    /** {@code E.N}. */
    @Override
    public String toString() {
        return epoch + "." + number;
    }
}
