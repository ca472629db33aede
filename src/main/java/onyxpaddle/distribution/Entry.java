package onyxpaddle.distribution;

import java.util.Objects;

/**
 * One section of distributed configuration.
 *
 * @param value YAML text of the section; {@code null} for a removed entry
 * @param changedAt the version that set this value or removed the entry
 */
public record Entry(EntryKey key, String value, ConfigurationVersion changedAt) {
    /** Maximum length of a value in characters. */
    public static final int MAX_VALUE_LENGTH = 1 << 20;

    public Entry {
        Objects.requireNonNull(key, "key");
        Objects.requireNonNull(changedAt, "changedAt");
        if (value != null && value.length() > MAX_VALUE_LENGTH) {
            throw new IllegalArgumentException(key + ": value longer than " + MAX_VALUE_LENGTH + " characters");
        }
    }

    public boolean removed() {
        return value == null;
    }
}
