package onyxpaddle.wire;

import java.util.Map;

/** Reads the fields of one wire line from left to right. */
final class FieldReader {
    private final String line;
    private final long number;
    private final String name;
    private int position;

    FieldReader(String line, long number) {
        this.line = line;
        this.number = number;
        this.name = text();
    }

    String name() {
        return name;
    }

    boolean hasMore() {
        return position < line.length();
    }

    String text() {
        if (position > line.length() || line.isEmpty()) {
            throw malformed("missing field");
        }
        int end = line.indexOf(' ', position);
        end = end < 0 ? line.length() : end;
        String field = line.substring(position, end);
        position = end + 1;
        if (field.isEmpty()) {
            throw malformed("empty field");
        }
        return field;
    }

    /** A field that may be left out or marked absent with "-"; null if it is. */
    String optionalText() {
        if (position >= line.length()) {
            return null;
        }
        String field = text();
        return field.equals("-") ? null : field;
    }

    int integer() {
        long value = longInteger();
        if (value != (int) value) {
            throw malformed("number out of range: " + value);
        }
        return (int) value;
    }

    int optionalInteger() {
        String field = optionalText();
        return field == null ? 0 : (int) parseLong(field);
    }

    /** A signed or unsigned 64-bit integer: seeds use all 64 bits. */
    long longInteger() {
        return parseLong(text());
    }

    private long parseLong(String field) {
        try {
            return Long.parseLong(field);
        } catch (NumberFormatException e) {
            try {
                return Long.parseUnsignedLong(field);
            } catch (NumberFormatException notUnsigned) {
                throw malformed("not an integer: " + field);
            }
        }
    }

    double optionalNumber() {
        String field = optionalText();
        return field == null ? 0 : parseNumber(field);
    }

    /** A time or span in seconds, as nanoseconds. */
    long time() {
        return Math.round(parseNumber(text()) * 1e6) * 1000;
    }

    long optionalTime() {
        String field = optionalText();
        return field == null ? 0 : Math.round(parseNumber(field) * 1e6) * 1000;
    }

    private double parseNumber(String field) {
        try {
            return Double.parseDouble(field);
        } catch (NumberFormatException e) {
            throw malformed("not a number: " + field);
        }
    }

    boolean bool() {
        String field = text();
        if (!field.equals("0") && !field.equals("1")) {
            throw malformed("expected 0 or 1: " + field);
        }
        return field.equals("1");
    }

    /** Comma-separated numbers, NaN where one is absent; null where the field is absent. */
    double[] numbers() {
        String field = optionalText();
        if (field == null) {
            return null;
        }
        String[] parts = field.split(",", -1);
        double[] values = new double[parts.length];
        for (int i = 0; i < parts.length; i++) {
            values[i] = parts[i].isEmpty() || parts[i].equals("-") ? Double.NaN : parseNumber(parts[i]);
        }
        return values;
    }

    <T> T choice(Map<String, T> choices) {
        String field = text();
        T value = choices.get(field);
        if (value == null) {
            throw malformed("unknown value: " + field);
        }
        return value;
    }

    MalformedLineException malformed(String problem) {
        return new MalformedLineException(number, problem);
    }
}
