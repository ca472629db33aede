package onyxpaddle.capacity;

/**
 * A line fitted to the measured values of several sizes.
 *
 * @param row its name, such as {@code list-service.nodes.cpu}
 * @param over the size that varies, such as {@code nodes}
 * @param intercept value at size 0, in {@code unit}
 * @param slope increase per unit of size, in {@code unit}
 * @param residual root mean square of the residuals, in {@code unit}
 * @param rSquared share of the variance that the line explains
 * @param predictionError deviation of the value predicted for the largest size, relative to the measured value
 * @param linear whether the line may be used for sizes that were not measured
 * @param smallest smallest size measured
 * @param largest largest size measured
 */
record MeasuredSlope(String row, String over, String unit, double intercept, double slope, double residual, double rSquared,
        double predictionError, boolean linear, double smallest, double largest) {
    /** Values for sizes above this multiple of the largest measured size are marked as extrapolated. */
    private static final double EXTRAPOLATION_FACTOR = 2;

    double at(double size) {
        return intercept + slope * size;
    }

    boolean extrapolated(double size) {
        return size > EXTRAPOLATION_FACTOR * largest;
    }
}
