package onyxpaddle;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import onyxpaddle.BalancerApi.*;

/**
 * Reads the settings of an instance from flat paths, such as {@code limits.maxAttempts}. The simulator's wire states
 * them in this form, and a real node's configuration is flattened to it, so that both are parsed alike. Unknown paths
 * are ignored.
 */
public final class FlatSettings {
    private static final Map<String, Effect> EFFECTS = Map.of("read_like", Effect.SAFE,
        "idempotency_key", Effect.KEYED, "non_idempotent", Effect.UNSAFE);
    private static final Map<String, KeyGroup> GROUPS = Map.of("all", KeyGroup.ALL, "zone", KeyGroup.ZONE,
        "cell", KeyGroup.CELL);
    private static final Map<String, Weights> WEIGHTS = Map.of("off", Weights.NONE, "nominal", Weights.NOMINAL,
        "rough", Weights.ROUGH, "live", Weights.LIVE);
    private static final Map<String, LoadField> LOAD_FIELDS = Map.of("outstanding", LoadField.IN_FLIGHT,
        "backlog", LoadField.QUEUE, "utilization", LoadField.UTILIZATION, "recent_ms", LoadField.LATENCY_MS,
        "throughput", LoadField.PER_SECOND, "errors_per_s", LoadField.ERRORS_PER_SECOND);

    private final Map<String, String> pairs;

    public FlatSettings(Map<String, String> pairs) {
        this.pairs = Map.copyOf(pairs);
    }

    /** A setting that cannot be parsed; the records of {@link BalancerApi} reject values that are out of range. */
    public static final class MalformedSettingException extends IllegalArgumentException {
        private static final long serialVersionUID = 1L;

        MalformedSettingException(String path, String problem, String value) {
            super("setting " + path + " " + problem + ": " + value);
        }
    }

    /** The settings that {@link RatioBalancer} starts with. */
    public Settings settings() {
        List<RequestClass> classes = new ArrayList<>();
        for (int i = 0; i < count("classes"); i++) {
            String prefix = "classes." + i + ".";
            classes.add(new RequestClass(text(prefix + "name", ""), choice(prefix + "effect", EFFECTS, Effect.UNSAFE),
                choice(prefix + "group", GROUPS, KeyGroup.ALL), span(prefix + "memorySpanS"), span(prefix + "aimS"),
                number(prefix + "aimStretch", 0), span(prefix + "deadlineS"), number(prefix + "worth", 1),
                number(prefix + "lateWorth", 0), bool(prefix + "streamed", false)));
        }
        List<Tenant> tenants = new ArrayList<>();
        for (int i = 0; i < count("customers"); i++) {
            String prefix = "customers." + i + ".";
            tenants.add(new Tenant(text(prefix + "name", ""), number(prefix + "quotaPerS", 0)));
        }
        List<LoadField> loadFields = new ArrayList<>();
        for (String field : list("report.fields")) {
            loadFields.add(LOAD_FIELDS.getOrDefault(field, LoadField.OTHER));
        }
        Limits limits = new Limits((int) number("limits.maxAttempts", 1), bool("limits.secondCopies", false),
            bool("limits.cancel", false), bool("limits.probes", false), bool("limits.retryAfter", false),
            span("limits.maxRetryAfterS"), span("limits.dialTimeoutS"));
        Rules rules = new Rules(number("rules.startCapacity", 1), span("rules.coldS"),
            number("rules.fallMultiple", 1), span("rules.overloadForS"), span("rules.drainGraceS"),
            span("rules.graceToAnswerS"), span("rules.askEveryS"));
        return new Settings(text("az", ""), list("areas"), (int) number("layer", 0),
            (int) number("me", 0), (int) number("siblings", 1), classes, tenants, number("overShareWorth", 1),
            text("valueBy", "request").equals("work"), text("membershipMode", "push").equals("ask"),
            choice("weights", WEIGHTS, Weights.NONE), loadFields, number("prices.crossZone", 0),
            span("quantumS"), limits, rules);
    }

    private int count(String path) {
        return (int) number(path + ".count", 0);
    }

    private List<String> list(String path) {
        String value = text(path, "");
        return value.isEmpty() ? List.of() : List.of(value.split(","));
    }

    private String text(String path, String fallback) {
        String value = pairs.get(path);
        return value == null || value.equals("-") ? fallback : value;
    }

    private double number(String path, double fallback) {
        String value = text(path, "");
        try {
            return value.isEmpty() ? fallback : Double.parseDouble(value);
        } catch (NumberFormatException e) {
            throw new MalformedSettingException(path, "is not a number", value);
        }
    }

    /** A span in nanoseconds, which the settings give in seconds; 0 where it is missing. */
    public long span(String path) {
        return Math.round(number(path, 0) * 1e9);
    }

    private boolean bool(String path, boolean fallback) {
        String value = text(path, "");
        return value.isEmpty() ? fallback : value.equals("true") || value.equals("1");
    }

    private <T> T choice(String path, Map<String, T> choices, T fallback) {
        String value = text(path, "");
        if (value.isEmpty()) {
            return fallback;
        }
        T known = choices.get(value);
        if (known == null) {
            throw new MalformedSettingException(path, "has an unknown value", value);
        }
        return known;
    }
}
