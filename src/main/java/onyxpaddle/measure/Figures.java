package onyxpaddle.measure;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/** The figures of one measurement, and what it falls short of. */
final class Figures {
    private final Map<String, Double> values = new LinkedHashMap<>();
    private final List<String> missed = new ArrayList<>();

    void put(String name, double value, String unit) {
        values.put(name + (unit.isEmpty() ? "" : " (" + unit + ")"), value);
        System.out.printf(Locale.ROOT, "%-58s %12.3f %s%n", name, value, unit);
    }

    /** A figure that must lie within bounds. */
    void hold(String name, double value, String unit, double least, double most) {
        put(name, value, unit);
        if (!(value >= least && value <= most)) {
            missed.add(String.format(Locale.ROOT, "%s is %.3f %s, not from %.3f to %.3f", name, value, unit, least, most));
        }
    }

    List<String> shortOf() {
        return missed;
    }

    void json(Path file, String name) throws IOException {
        try (JsonGenerator json = new JsonFactory().createGenerator(Files.newBufferedWriter(file)).useDefaultPrettyPrinter()) {
            json.writeStartObject();
            json.writeStringField("measurement", name);
            json.writeBooleanField("holds", missed.isEmpty());
            json.writeObjectFieldStart("figures");
            for (Map.Entry<String, Double> value : values.entrySet()) {
                json.writeNumberField(value.getKey(), value.getValue());
            }
            json.writeEndObject();
            json.writeEndObject();
        }
    }

    static double median(List<Double> values) {
        double[] sorted = values.stream().mapToDouble(Double::doubleValue).sorted().toArray();
        return sorted.length % 2 == 1 ? sorted[sorted.length / 2]
            : (sorted[sorted.length / 2 - 1] + sorted[sorted.length / 2]) / 2;
    }

    /** The lowest and the highest, as a text. */
    static String spread(List<Double> values) {
        double[] sorted = values.stream().mapToDouble(Double::doubleValue).sorted().toArray();
        return String.format(Locale.ROOT, "%.3f to %.3f", sorted[0], sorted[sorted.length - 1]) + " in "
            + Arrays.toString(sorted).split(",").length;
    }
}
