package onyxpaddle.distribution;

import java.util.Objects;

/**
 * One section of configuration.
 *
 * @param value YAML text of the section; null where the entry has been removed
 * @param changedAt the version that gave it this value, or removed it
 */
public record Entry(EntryKey key, String value, ConfigurationVersion changedAt) {
    /** The most characters of a value. */
    public static final int MAX_VALUE_LENGTH = 1 << 20;

    public Entry {
        Objects.requireNonNull(key, "key");
        Objects.requireNonNull(changedAt, "changedAt");
        if (value != null && value.length() > MAX_VALUE_LENGTH) {
            throw new IllegalArgumentException(key + ": a value of more than " + MAX_VALUE_LENGTH + " characters");
        }
    }

    public boolean removed() {
        return value == null;
    }
}
