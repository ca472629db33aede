package onyxpaddle.capacity;

import java.util.List;
import java.util.Map;

/**
 * The results of one run of a measurement.
 *
 * @param file name of the result file, as shown on the page
 * @param measurement {@code scale} or {@code added-time}
 * @param passed whether the run met all its checks
 * @param settings parameters of the run, by the names in the documentation of the measurement
 * @param slopes fitted lines
 * @param figures individual figures, each of a role during an event
 * @param failedChecks names of the checks that failed
 * @param plain figures without a role, by name
 */
record MeasuredRun(String file, String measurement, boolean passed, Map<String, Double> settings, List<MeasuredSlope> slopes,
        List<Figure> figures, List<String> failedChecks, Map<String, Double> plain) {
    record Figure(String role, String event, String quantity, String unit, double value) {
    }

    MeasuredRun {
        settings = Map.copyOf(settings);
        slopes = List.copyOf(slopes);
        figures = List.copyOf(figures);
        failedChecks = List.copyOf(failedChecks);
        plain = Map.copyOf(plain);
    }

    /** Number of nodes in the fleet of the run; 0 if it had no fleet. */
    int nodes() {
        return settings.getOrDefault("nodes", 0.0).intValue();
    }
}
