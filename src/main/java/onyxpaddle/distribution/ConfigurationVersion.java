package onyxpaddle.distribution;

import java.util.Comparator;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A version of the configuration: the epoch of the publisher that created it and a sequence number. The number keeps increasing
 * across epochs: a new epoch continues after the last number that its publisher took over.
 *
 * @param epoch 0 for {@link #NONE} only, at most {@link #MAX}
 * @param number from 0 to {@link #MAX}
 */
public record ConfigurationVersion(long epoch, long number) implements Comparable<ConfigurationVersion> {
    /** Largest epoch and number: 15 digits, which JSON parsers in all languages represent exactly. */
    public static final long MAX = 999_999_999_999_999L;
    /** The version before the first one. */
    public static final ConfigurationVersion NONE = new ConfigurationVersion(0, 0);

    private static final Pattern FORMAT = Pattern.compile("([0-9]{1,15})\\.([0-9]{1,15})");
    private static final Comparator<ConfigurationVersion> ORDER =
        Comparator.comparingLong(ConfigurationVersion::epoch).thenComparingLong(ConfigurationVersion::number);

    /** @throws IllegalArgumentException if a value is out of range, or the epoch is 0 and the number is not */
    public ConfigurationVersion {
        boolean within = epoch >= 0 && epoch <= MAX && number >= 0 && number <= MAX;
        if (!within || epoch == 0 && number != 0) {
            throw new IllegalArgumentException("invalid version: epoch " + epoch + ", number " + number);
        }
    }

    /**
     * Parses {@code E.N}.
     *
     * @throws IllegalArgumentException with a message for users
     */
    public static ConfigurationVersion parse(String text) {
        Matcher matcher = FORMAT.matcher(text);
        if (!matcher.matches()) {
            throw new IllegalArgumentException("`" + Excerpt.of(text) + "` is not a version, expected `EPOCH.NUMBER` such as `1.42`");
        }
        return new ConfigurationVersion(Long.parseLong(matcher.group(1)), Long.parseLong(matcher.group(2)));
    }

    public boolean isAfter(ConfigurationVersion other) {
        return compareTo(other) > 0;
    }

    @Override
    public int compareTo(ConfigurationVersion other) {
        return ORDER.compare(this, other);
    }

    /** Returns {@code E.N}. */
    @Override
    public String toString() {
        return epoch + "." + number;
    }
}
