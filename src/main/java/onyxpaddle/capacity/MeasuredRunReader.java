package onyxpaddle.capacity;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import onyxpaddle.capacity.MeasuredRun.Figure;
import onyxpaddle.config.Faults;
import onyxpaddle.config.SourceFile;
import onyxpaddle.config.Value;

/** Reads a file written by a measurement with {@code --json}, and reports all its faults. */
final class MeasuredRunReader {
    private static final int FORMAT_VERSION = 1;

    private final String file;
    private final JsonFields root;

    private MeasuredRunReader(String file, JsonFields root) {
        this.file = file;
        this.root = root;
    }

    /** Reads the run in a file; returns null if the file is invalid. */
    static MeasuredRun file(Path file, Faults faults) {
        String text = SourceFile.text(file, faults);
        return text == null ? null : read(file.toString(), text, faults);
    }

    /** As {@link #file}, for the text of a file. */
    static MeasuredRun read(String name, String text, Faults faults) {
        Faults own = new Faults();
        Value value = JsonTree.parse(name, text, own);
        MeasuredRun run = null;
        if (value != null) {
            run = new MeasuredRunReader(Path.of(name).getFileName().toString(), JsonFields.of(value, own)).run();
        }
        faults.addAll(own.list());
        return own.any() ? null : run;
    }

    private MeasuredRun run() {
        String measurement = root.word("measurement", Set.of("added-time", "scale"));
        boolean passed = root.flag("holds");
        if (measurement.equals("scale")) {
            return scale(passed);
        }
        Map<String, Double> plain = root.object("figures").numbers();
        return new MeasuredRun(file, measurement, passed, Map.of(), List.of(), List.of(), List.of(), plain);
    }

    private MeasuredRun scale(boolean passed) {
        if (root.number("form") != FORMAT_VERSION) {
            root.fault("form", "is not the format of this program version",
                "form " + FORMAT_VERSION + ": `bin/measure scale --json` writes it");
        }
        String fault = root.text("fault");
        if (!fault.equals("none")) {
            root.fault("fault", "the run has an injected fault: `" + fault + "`",
                "a run without a fault, as the cost of a fault is not a requirement");
        }
        List<MeasuredSlope> slopes = root.objects("slopes").stream().map(this::slope).toList();
        List<Figure> figures = root.objects("figures").stream().map(this::figure).toList();
        return new MeasuredRun(file, "scale", passed, root.object("settings").numbers(), slopes, figures, failedChecks(), Map.of());
    }

    private MeasuredSlope slope(JsonFields fields) {
        List<Double> sizes = new ArrayList<>();
        fields.objects("points").forEach(point -> sizes.add(point.number("size")));
        double smallest = sizes.stream().mapToDouble(Double::doubleValue).min().orElse(Double.NaN);
        boolean linear = fields.word("verdict", Set.of("linear", "not-linear")).equals("linear");
        double predictionError = fields.object("foretold").number("apart");
        return new MeasuredSlope(fields.text("row"), fields.text("over"), fields.text("unit"), fields.number("intercept"),
            fields.number("slope"), fields.number("residual"), fields.number("rSquared"), predictionError, linear, smallest,
            fields.number("largest"));
    }

    private Figure figure(JsonFields fields) {
        return new Figure(fields.text("role"), fields.text("event"), fields.text("quantity"), fields.text("unit"),
            fields.number("value"));
    }

    private List<String> failedChecks() {
        List<String> names = new ArrayList<>();
        for (JsonFields check : root.objects("checks")) {
            if (!check.flag("holds")) {
                names.add(check.text("row"));
            }
        }
        return names;
    }
}
