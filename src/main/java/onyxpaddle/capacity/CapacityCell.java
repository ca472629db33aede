package onyxpaddle.capacity;

import java.util.Locale;

/**
 * One resource requirement: a value, its source and its budget.
 *
 * @param value in {@code unit}; NaN if it was not measured
 * @param origin how the value was obtained
 * @param from describes the run, slope or arithmetic behind the value
 * @param budget the limit, in {@code unit}; NaN if there is none
 */
record CapacityCell(double value, String unit, Origin origin, String from, double budget) {
    /** Absolute values below this are rounding errors of floating-point arithmetic and are shown as 0. */
    private static final double ROUNDING_ERROR = 1e-9;

    /** How a value was obtained; from the most to the least reliable. */
    enum Origin {
        /** Measured at the design size. */
        MEASURED,
        /** Measured with fewer nodes or at another event rate; {@code from} says which. */
        MEASURED_OTHER_CONDITIONS,
        /** Computed from a slope, for a size up to twice the largest one measured. */
        SLOPE,
        /** Computed from a slope, for a size beyond that. */
        EXTRAPOLATED,
        /** Calculated from the given design parameters. */
        CALCULATED,
        /** Not contained in any run. */
        NOT_MEASURED,
        /** Measured in a run that was too noisy for a comparison with the budget. */
        INCONCLUSIVE
    }

    static CapacityCell notMeasured() {
        return new CapacityCell(Double.NaN, "", Origin.NOT_MEASURED, "", Double.NaN);
    }

    CapacityCell within(double most) {
        return new CapacityCell(value, unit, origin, from, most);
    }

    /** Value divided by budget; NaN if either is missing. */
    double ratio() {
        return origin == Origin.NOT_MEASURED || origin == Origin.INCONCLUSIVE ? Double.NaN : value / budget;
    }

    /** Whether the value was computed from a fitted line; {@code from} is then the row of that line. */
    boolean onSlope() {
        return origin == Origin.SLOPE || origin == Origin.EXTRAPOLATED;
    }

    /** The text of the table cell. */
    String text() {
        return switch (origin) {
            case NOT_MEASURED -> "not measured";
            case INCONCLUSIVE -> "can't be judged here (" + from + ")";
            case MEASURED -> figure();
            case MEASURED_OTHER_CONDITIONS -> figure() + " (" + from + ")";
            case SLOPE -> figure() + " (slope)";
            case EXTRAPOLATED -> figure() + " (extrapolated)";
            case CALCULATED -> figure() + " (reckoned)";
        };
    }

    private String figure() {
        return number(value) + (unit.isEmpty() ? "" : " " + unit);
    }

    /** Formats a number with at least three significant digits (two below 0.1) and without an exponent. */
    static String number(double value) {
        if (Double.isNaN(value)) {
            return "none";
        }
        double size = Math.abs(value) < ROUNDING_ERROR ? 0 : Math.abs(value);
        String form = size >= 100 ? "%,.0f" : size >= 10 ? "%.1f" : size >= 1 ? "%.2f" : size >= 0.1 || size == 0 ? "%.3f" : "%.2g";
        String text = String.format(Locale.ROOT, form, size == 0 ? 0 : value);
        return text.contains("e") ? new java.math.BigDecimal(text).toPlainString() : text;
    }
}
