package onyxpaddle.config;

import java.util.List;

/**
 * The schema of a file: the single definition of its keys, from which validation, the JSON Schema for editors and the
 * tables of the documentation are derived.
 */
public sealed interface Schema {
    /** The types of scalars. */
    enum Kind {
        TEXT("text"),
        /** Lower-case letters, digits and hyphens, 63 characters at most, as in host names (RFC 1123, 2.1). */
        NAME("a name of lower-case letters, digits and hyphens"),
        /** A name of 30 characters at most, with no two hyphens in a row, as longer names are derived from it. */
        LABEL("a name of at most 30 lower-case letters, digits and hyphens"),
        WORD("a word"),
        PORT("a port from 1 to 65535"),
        /** A numeric IP address and a port: names are not resolved. */
        ADDRESS("an address in digits with a port, such as `127.0.0.1:7001`"),
        SPAN("a time with its unit, such as `300 ms` or `2 s`"),
        SIZE("a size with its unit, such as `64 KiB` or `1 MiB`"),
        COUNT("a whole number"),
        NUMBER("a number"),
        FLAG("`true` or `false`"),
        /** A numeric IP address without a port. */
        IP("an IP address in digits, such as `10.0.0.1`"),
        /** An address and a length in bits, with no host bits set (RFC 4271, 4.3). */
        PREFIX("an address and its length, such as `10.9.8.7/32`"),
        /** Two 16-bit numbers (RFC 1997). */
        COMMUNITY("a community, such as `65001:20`"),
        /** A prefix of a URL's path. */
        PATH("a path from its first slash on, such as `/slots`"),
        METHOD("an HTTP method in capitals, such as `GET`"),
        HEADER("a header's name, such as `X-Clinic`"),
        /** The name of a remote procedure, or a prefix followed by an asterisk. */
        PROCEDURE("a procedure's name, or the start of several and `*`, such as `patient.*`"),
        /** A host name as in the Host header, without a port. */
        HOST("a host name, such as `records.svc`");

        final String description;

        Kind(String description) {
            this.description = description;
        }
    }

    /** A scalar; the bounds apply to numbers, spans (ns), sizes (bytes) and counts. */
    record ScalarSchema(Kind kind, List<String> words, double min, double max) implements Schema {
        public ScalarSchema {
            words = List.copyOf(words);
        }
    }

    record ListOf(Schema item, boolean mayBeEmpty) implements Schema {
    }

    /** A map with freely chosen names. */
    record MapOf(Kind name, Schema item, boolean mayBeEmpty) implements Schema {
    }

    record Section(List<Key> keys) implements Schema {
        public Section {
            keys = List.copyOf(keys);
        }
    }

    /** A value with a short form, a scalar, and a long one, a section. */
    record ScalarOrSection(ScalarSchema scalar, Section section) implements Schema {
    }

    /** {@code defaultText}: the default for the documentation; null if there is none. */
    record Key(String name, Schema schema, boolean required, String defaultText, String description) {
    }

    static ScalarSchema plain(Kind kind) {
        return new ScalarSchema(kind, List.of(), -Double.MAX_VALUE, Double.MAX_VALUE);
    }

    static ScalarSchema bounded(Kind kind, double min, double max) {
        return new ScalarSchema(kind, List.of(), min, max);
    }

    static ScalarSchema word(String... words) {
        return new ScalarSchema(Kind.WORD, List.of(words), 0, 0);
    }

    /** A list of at least one item. */
    static ListOf listOf(Schema item) {
        return new ListOf(item, false);
    }

    static Section section(Key... keys) {
        return new Section(List.of(keys));
    }

    static Key required(String name, Schema schema, String description) {
        return new Key(name, schema, true, null, description);
    }

    static Key optional(String name, Schema schema, String defaultText, String description) {
        return new Key(name, schema, false, defaultText, description);
    }
}
