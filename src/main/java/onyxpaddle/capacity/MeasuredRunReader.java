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

/** Reads what a measurement wrote by {@code --json}, with all that is wrong with it. */
final class MeasuredRunReader {
    private static final int FORM = 1;

    private final String file;
    private final JsonFields root;

    private MeasuredRunReader(String file, JsonFields root) {
        this.file = file;
        this.root = root;
    }

    /** The run in a file; null where the file has faults. */
    static MeasuredRun file(Path file, Faults faults) {
        String text = SourceFile.text(file, faults);
        return text == null ? null : read(file.toString(), text, faults);
    }

    /** As {@link #file}, of a file's text. */
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
        boolean holds = root.flag("holds");
        if (measurement.equals("scale")) {
            return scale(holds);
        }
        Map<String, Double> plain = root.object("figures").numbers();
        return new MeasuredRun(file, measurement, holds, Map.of(), List.of(), List.of(), List.of(), plain);
    }

    private MeasuredRun scale(boolean holds) {
        if (root.number("form") != FORM) {
            root.fault("form", "is of another version of the program", "form " + FORM + ": `bin/measure scale --json` writes it");
        }
        String fault = root.text("fault");
        if (!fault.equals("none")) {
            root.fault("fault", "a fault was put in: `" + fault + "`", "a run without one: what a fault costs is no need");
        }
        List<MeasuredSlope> slopes = root.objects("slopes").stream().map(this::slope).toList();
        List<Figure> figures = root.objects("figures").stream().map(this::figure).toList();
        return new MeasuredRun(file, "scale", holds, root.object("settings").numbers(), slopes, figures, shortOf(), Map.of());
    }

    private MeasuredSlope slope(JsonFields fields) {
        List<Double> sizes = new ArrayList<>();
        fields.objects("points").forEach(point -> sizes.add(point.number("size")));
        double smallest = sizes.stream().mapToDouble(Double::doubleValue).min().orElse(Double.NaN);
        boolean linear = fields.word("verdict", Set.of("linear", "not-linear")).equals("linear");
        double apart = fields.object("foretold").number("apart");
        return new MeasuredSlope(fields.text("row"), fields.text("over"), fields.text("unit"), fields.number("intercept"),
            fields.number("slope"), fields.number("residual"), fields.number("rSquared"), apart, linear, smallest,
            fields.number("largest"));
    }

    private Figure figure(JsonFields fields) {
        return new Figure(fields.text("role"), fields.text("event"), fields.text("quantity"), fields.text("unit"),
            fields.number("value"));
    }

    private List<String> shortOf() {
        List<String> names = new ArrayList<>();
        for (JsonFields check : root.objects("checks")) {
            if (!check.flag("holds")) {
                names.add(check.text("row"));
            }
        }
        return names;
    }
}
