package onyxpaddle.capacity;

import java.util.Locale;

/**
 * One need.
 *
 * @param value in {@code unit}; NaN where it was not measured
 * @param origin where it comes from
 * @param from the run, slope or arithmetic, in some words
 * @param budget what is allowed, in {@code unit}; NaN where none is given
 */
record CapacityCell(double value, String unit, Origin origin, String from, double budget) {
    /** Less than this is what arithmetic of doubles leaves over. */
    private static final double LEAST_SHOWN = 1e-9;

    /** Where a need comes from. */
    enum Origin {
        /** Measured at the size to design for. */
        MEASURED,
        /** Measured with fewer nodes than that, or at another pace; {@code from} says which. */
        MEASURED_OTHERWISE,
        /** From a slope, up to twice the largest size measured. */
        SLOPE,
        /** From a slope, beyond that. */
        EXTRAPOLATED,
        /** Arithmetic from what is given. */
        RECKONED,
        /** In no run. */
        NOT_MEASURED,
        /** In a run that was too noisy for it. */
        CANNOT_JUDGE
    }

    static CapacityCell notMeasured() {
        return new CapacityCell(Double.NaN, "", Origin.NOT_MEASURED, "", Double.NaN);
    }

    CapacityCell within(double most) {
        return new CapacityCell(value, unit, origin, from, most);
    }

    /** Need divided by budget; NaN where either is not there. */
    double ratio() {
        return origin == Origin.NOT_MEASURED || origin == Origin.CANNOT_JUDGE ? Double.NaN : value / budget;
    }

    /** Whether it was read off a fitted line, whose row {@code from} is. */
    boolean onSlope() {
        return origin == Origin.SLOPE || origin == Origin.EXTRAPOLATED;
    }

    /** As the page shows it. */
    String text() {
        return switch (origin) {
            case NOT_MEASURED -> "not measured";
            case CANNOT_JUDGE -> "can't be judged here (" + from + ")";
            case MEASURED -> figure();
            case MEASURED_OTHERWISE -> figure() + " (" + from + ")";
            case SLOPE -> figure() + " (slope)";
            case EXTRAPOLATED -> figure() + " (extrapolated)";
            case RECKONED -> figure() + " (reckoned)";
        };
    }

    private String figure() {
        return number(value) + (unit.isEmpty() ? "" : " " + unit);
    }

    /** Three digits that count, without an exponent. */
    static String number(double value) {
        if (Double.isNaN(value)) {
            return "none";
        }
        double size = Math.abs(value) < LEAST_SHOWN ? 0 : Math.abs(value);
        String form = size >= 100 ? "%,.0f" : size >= 10 ? "%.1f" : size >= 1 ? "%.2f" : size >= 0.1 || size == 0 ? "%.3f" : "%.2g";
        String text = String.format(Locale.ROOT, form, size == 0 ? 0 : value);
        return text.contains("e") ? new java.math.BigDecimal(text).toPlainString() : text;
    }
}
