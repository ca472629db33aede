package onyxpaddle.config;

import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Parses and formats times and sizes: a number and its unit, such as {@code 300 ms} or {@code 1 MiB}. */
public final class Units {
    private static final Pattern AMOUNT = Pattern.compile("([0-9]{1,9}(?:\\.[0-9]{1,6})?) ?([A-Za-z]+)");

    private Units() {
    }

    /** Returns a span in nanoseconds, or -1 if the text is not one; units: us, ms, s, min, h. */
    public static long parseSpan(String text) {
        return amount(text, true);
    }

    /** Returns a size in bytes, or -1 if the text is not one; units: B, KiB, MiB, GiB. */
    public static long parseSize(String text) {
        return amount(text, false);
    }

    private static long amount(String text, boolean span) {
        Matcher m = AMOUNT.matcher(text);
        if (!m.matches()) {
            return -1;
        }
        long unit = span ? spanUnit(m.group(2)) : sizeUnit(m.group(2));
        return unit < 0 ? -1 : Math.round(Double.parseDouble(m.group(1)) * unit);
    }

    private static long spanUnit(String unit) {
        return switch (unit) {
            case "us" -> 1_000L;
            case "ms" -> 1_000_000L;
            case "s" -> 1_000_000_000L;
            case "min" -> 60_000_000_000L;
            case "h" -> 3_600_000_000_000L;
            default -> -1;
        };
    }

    private static long sizeUnit(String unit) {
        return switch (unit) {
            case "B" -> 1L;
            case "KiB" -> 1L << 10;
            case "MiB" -> 1L << 20;
            case "GiB" -> 1L << 30;
            default -> -1;
        };
    }

    /** Formats a span in the largest unit that gives a whole number. */
    public static String formatSpan(long nanos) {
        String[] names = {"h", "min", "s", "ms", "us"};
        for (String name : names) {
            long unit = spanUnit(name);
            if (nanos >= unit && nanos % unit == 0) {
                return nanos / unit + " " + name;
            }
        }
        return nanos == 0 ? "0 ms" : Math.max(1, nanos / 1000) + " us";
    }

    /** Formats a size in the largest unit that gives a whole number. */
    public static String formatSize(long bytes) {
        String[] names = {"GiB", "MiB", "KiB"};
        for (String name : names) {
            long unit = sizeUnit(name);
            if (bytes >= unit && bytes % unit == 0) {
                return bytes / unit + " " + name;
            }
        }
        return bytes + " B";
    }
}
