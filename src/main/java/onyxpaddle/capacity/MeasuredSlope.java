package onyxpaddle.capacity;

/**
 * A line that was fitted over sizes.
 *
 * @param row its name, such as {@code list-service.nodes.cpu}
 * @param over what grows along it, such as {@code nodes}
 * @param intercept at size 0, in {@code unit}
 * @param slope for each one more, in {@code unit}
 * @param residual root mean square, in {@code unit}
 * @param rSquared part of the variance that the line explains
 * @param apart how far the value foretold for the largest size was from the measured one, as a part of it
 * @param linear whether it may be used for sizes that were not measured
 * @param smallest smallest size measured
 * @param largest largest size measured
 */
record MeasuredSlope(String row, String over, String unit, double intercept, double slope, double residual, double rSquared, double apart,
        boolean linear, double smallest, double largest) {
    /** Beyond this times the largest size a value is called extrapolated. */
    private static final double TRUSTED_BEYOND = 2;

    double at(double size) {
        return intercept + slope * size;
    }

    boolean extrapolated(double size) {
        return size > TRUSTED_BEYOND * largest;
    }
}
