package onyxpaddle.scale;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;

/** Writes a run's result in the form that {@code docs/scale.md} describes. */
final class ScaleJson {
    /** Raised when a name changes its meaning. */
    private static final int FORM = 1;

    private final JsonGenerator json;

    private ScaleJson(JsonGenerator json) {
        this.json = json;
    }

    static void write(Path file, ScaleResult result, String size, SeededFault fault) throws IOException {
        try (JsonGenerator json = new JsonFactory().createGenerator(Files.newBufferedWriter(file)).useDefaultPrettyPrinter()) {
            new ScaleJson(json).all(result, size, fault);
        }
    }

    private void all(ScaleResult result, String size, SeededFault fault) throws IOException {
        json.writeStartObject();
        json.writeStringField("measurement", "scale");
        json.writeNumberField("form", FORM);
        json.writeBooleanField("holds", result.shortOf().isEmpty());
        json.writeStringField("size", size);
        json.writeStringField("fault", fault.word());
        json.writeObjectFieldStart("settings");
        for (Map.Entry<String, Double> setting : result.settings().entrySet()) {
            number(setting.getKey(), setting.getValue());
        }
        json.writeEndObject();
        json.writeArrayFieldStart("slopes");
        for (ScaleResult.Slope slope : result.slopes()) {
            slope(slope);
        }
        json.writeEndArray();
        json.writeArrayFieldStart("events");
        for (ScaleResult.Event event : result.events()) {
            event(event, result.figures());
        }
        json.writeEndArray();
        figures(result.figures(), fault);
        json.writeArrayFieldStart("checks");
        for (ScaleResult.Check check : result.checks()) {
            check(check);
        }
        json.writeEndArray();
        json.writeObjectFieldStart("cost");
        number("seconds", result.cost().seconds());
        number("memoryMiB", result.cost().memoryMiB());
        json.writeNumberField("processes", result.cost().processes());
        json.writeEndObject();
        json.writeEndObject();
    }

    /** Numbers that are none are left out as null: JSON has no word for them. */
    private void number(String name, double value) throws IOException {
        if (Double.isFinite(value)) {
            json.writeNumberField(name, value);
        } else {
            json.writeNullField(name);
        }
    }

    private void slope(ScaleResult.Slope slope) throws IOException {
        SlopeFit fit = slope.fit();
        json.writeStartObject();
        json.writeStringField("row", slope.row());
        json.writeStringField("role", slope.role());
        json.writeStringField("over", slope.over());
        json.writeStringField("quantity", slope.quantity());
        json.writeStringField("unit", slope.unit());
        number("intercept", fit.intercept());
        number("slope", fit.slope());
        number("residual", fit.residual());
        number("rSquared", fit.rSquared());
        json.writeArrayFieldStart("points");
        for (SlopeFit.Point point : fit.points()) {
            json.writeStartObject();
            number("size", point.size());
            json.writeArrayFieldStart("rounds");
            for (double round : point.rounds()) {
                json.writeNumber(round);
            }
            json.writeEndArray();
            number("median", point.median());
            json.writeEndObject();
        }
        json.writeEndArray();
        json.writeObjectFieldStart("foretold");
        number("size", fit.largest());
        number("value", fit.foretold());
        number("measured", fit.measured());
        number("apart", fit.apart());
        json.writeEndObject();
        json.writeStringField("verdict", fit.linear() ? "linear" : "not-linear");
        number("largest", fit.largest());
        json.writeEndObject();
    }

    private void event(ScaleResult.Event event, List<ScaleResult.Figure> figures) throws IOException {
        json.writeStartObject();
        json.writeStringField("event", event.name());
        json.writeNumberField("nodes", event.nodes());
        json.writeNumberField("touched", event.touched());
        json.writeArrayFieldStart("figures");
        for (ScaleResult.Figure figure : figures) {
            if (figure.event().equals(event.name())) {
                figure(figure, null);
            }
        }
        json.writeEndArray();
        json.writeEndObject();
    }

    private void figures(List<ScaleResult.Figure> figures, SeededFault fault) throws IOException {
        json.writeArrayFieldStart("figures");
        for (ScaleResult.Figure figure : figures) {
            figure(figure, fault == SeededFault.NONE ? "measured" : "fault");
        }
        json.writeEndArray();
    }

    private void figure(ScaleResult.Figure figure, String from) throws IOException {
        json.writeStartObject();
        json.writeStringField("role", figure.role());
        json.writeStringField("event", figure.event());
        json.writeStringField("quantity", figure.quantity());
        json.writeStringField("unit", figure.unit());
        number("value", figure.value());
        if (from != null) {
            json.writeStringField("from", from);
        }
        json.writeEndObject();
    }

    private void check(ScaleResult.Check check) throws IOException {
        json.writeStartObject();
        json.writeStringField("row", check.row());
        number("value", check.value());
        number("least", check.least());
        number("most", check.most());
        json.writeStringField("unit", check.unit());
        json.writeBooleanField("holds", check.holds());
        json.writeEndObject();
    }
}
