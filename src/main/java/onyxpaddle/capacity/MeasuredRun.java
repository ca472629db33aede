package onyxpaddle.capacity;

import java.util.List;
import java.util.Map;

/**
 * What one run of a measurement gave.
 *
 * @param file its name, as the page cites it
 * @param measurement {@code scale} or {@code added-time}
 * @param holds its verdict
 * @param settings what it was made with, by the names that the measurement's page gives
 * @param slopes fitted lines
 * @param figures single figures of a role in an event
 * @param shortOf checks that did not hold, by name
 * @param plain figures without a role, by name
 */
record MeasuredRun(String file, String measurement, boolean holds, Map<String, Double> settings, List<MeasuredSlope> slopes,
        List<Figure> figures, List<String> shortOf, Map<String, Double> plain) {
    /** One figure. */
    record Figure(String role, String event, String quantity, String unit, double value) {
    }

    MeasuredRun {
        settings = Map.copyOf(settings);
        slopes = List.copyOf(slopes);
        figures = List.copyOf(figures);
        shortOf = List.copyOf(shortOf);
        plain = Map.copyOf(plain);
    }

    /** Nodes of its fleet; 0 where it had none. */
    int nodes() {
        return settings.getOrDefault("nodes", 0.0).intValue();
    }
}
