package onyxpaddle.capacity;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.stream.Collectors;

/** Renders the capacity page for operators as Markdown; does no I/O. */
final class CapacityPage {
    private static final List<CapacityColumn> TABLE = List.of(CapacityColumn.STATE, CapacityColumn.CALLS, CapacityColumn.BYTES_IN,
        CapacityColumn.BYTES_OUT, CapacityColumn.PROCESSOR, CapacityColumn.MEMORY);
    private static final Map<CapacityRole, String> STATE_BOUNDS = Map.of(
        CapacityRole.FRONT, "lines of the watched lists; one answer of a list holds 8 MiB at most (`membership`)",
        CapacityRole.SIDECAR_MEAN, "as at a front node, of each service that it calls",
        CapacityRole.SIDECAR_HOTTEST, "as at a front node, of each service that it calls",
        CapacityRole.LIST_SERVICE, "all lines; the platform bounds it",
        CapacityRole.CONFIGURATION, "the entries, 16 MiB at most, twice on each disk, and 10,000 removed ones (`distribution`)",
        CapacityRole.FLEET_OWNER, "none is kept",
        CapacityRole.FIGURES_READERS, "none beyond a node's own counts");

    private final MeasuredRuns runs;
    private final CapacityPlan plan;
    private final String machine;
    private final StringBuilder out = new StringBuilder();

    private CapacityPage(MeasuredRuns runs, String machine) {
        this.runs = runs;
        this.plan = new CapacityPlan(runs);
        this.machine = machine;
    }

    /**
     * Renders the page.
     *
     * @param machine the operator's description of the machine and its load during the runs; empty if not given
     */
    static String text(MeasuredRuns runs, String machine) {
        CapacityPage page = new CapacityPage(runs, machine);
        page.render();
        return page.out.toString();
    }

    private void render() {
        header();
        priorities();
        configuration();
        added();
        for (CapacityRole role : CapacityRole.values()) {
            role(role);
        }
        slopes();
        calculated();
        runTable();
    }

    private void header() {
        out.append("""
            # Capacity

            What the fleet needs at the size to design for, and what is allowed. `lupinmount capacity render` makes this page from
            the results of `bin/measure scale` and `bin/measure added-time`; a hand that changes a figure here is undone by its next run.

                bin/measure scale --long --json target/scale.json
                bin/measure added-time --long --json target/added-time.json
                bin/lupinmount capacity render --figures target/scale.json --figures target/added-time.json \\
                    --machine 'quiet, 8 cores' --out docs/CAPACITY.md

            **Size:** 920 nodes, one beside each of 920 servers, 57 services, 240,000 calls a second up to 9 deep, 2,000 changes of
            configuration and 240 restarts a day. **Budgets:** a node's control 2.6 %% of a core, 32 MB and 3 KB a second, read and
            written together; a change of configuration in force everywhere within 8 s; 0.36 ms added for 99 in 100 calls; four
            machines for control.

            **Control** is the watch of lists, configuration, leases and figures: all that a node does if nobody calls. It is told
            apart by two nodes of the same build in the same run, one that watches lists and one whose servers are fixed: what the
            first needs more is control (`cpuControl`, `memoryControl`). Memory is what two processes hold resident, which differs by
            some MiB from one to the next, so that what is told apart may be below 0. Bytes are counted at the other end of the
            control connections, which carry nothing else.

            **How to read a figure:** without a mark it was measured at this size, or on real nodes where the fleet's size plays no
            part. *(at N nodes)*: measured with so many, and shown as it was there. *(slope)*: a fitted line at this size, up to twice
            the largest size measured. *(extrapolated)*: beyond that. *(reckoned)*: arithmetic from what is given. *not measured*: in
            no run. Events are played within seconds, and their rates are of that time: a node's budget of bytes is held against the
            most that it read in 8 s (24,000 B), its processor time is spread over 8 s at least. The restarts of a day are played
            *(made faster)*; *(by the day's pace)* is what they add to calm, spread over the day. How many services a node calls is
            not given: one list at a front node, %d at the mean and %d at the hottest are assumed ([questions](questions.md)). The
            list service's processor time is held against one core for each of the four machines, as their cores are not given.
            """.formatted(CapacityRole.SIDECAR_MEAN.watchedServices(), CapacityRole.SIDECAR_HOTTEST.watchedServices()));
        if (!machine.isEmpty()) {
            line("");
            line("**Machine:** " + machine.replaceAll("\\p{Cntrl}", " "));
        }
    }

    private void priorities() {
        line("");
        line("## Over budget, or without a mechanism");
        line("");
        table("Role", "When", "Need / budget", "Mechanism", "Time given");
        List<CapacityRow> rows = plan.priorityRows();
        for (List<CapacityRow> groupEqualRows : groupEqualRows(rows)) {
            CapacityRow row = groupEqualRows.get(0);
            String when = groupEqualRows.stream().map(r -> r.event().title()).collect(Collectors.joining("; "));
            cells(row.role().title(), when, row.ratioText(), row.mechanism(), timeLimitText(row));
        }
        line("");
        line(rows.isEmpty() ? "Nothing is over its budget, and each role has a mechanism." : priorityReason(rows.get(0)));
    }

    /** Groups consecutive rows that the page shows with the same text apart from the event. */
    private static List<List<CapacityRow>> groupEqualRows(List<CapacityRow> rows) {
        List<List<CapacityRow>> groups = new ArrayList<>();
        CapacityRow before = null;
        for (CapacityRow row : rows) {
            boolean same = before != null && before.role() == row.role() && before.ratioText().equals(row.ratioText())
                && timeLimitText(before).equals(timeLimitText(row));
            if (!same) {
                groups.add(new ArrayList<>());
            }
            groups.get(groups.size() - 1).add(row);
            before = row;
        }
        return groups;
    }

    private static String timeLimitText(CapacityRow row) {
        return Double.isNaN(row.timeLimitSeconds()) ? "" : String.format(Locale.ROOT, "%.0f s", row.timeLimitSeconds());
    }

    /** Explains why the first row of the table has the highest priority. */
    private static String priorityReason(CapacityRow row) {
        StringBuilder text = new StringBuilder("**What comes first: ").append(row.role().title().toLowerCase(Locale.ROOT))
            .append(", ").append(row.event().title()).append(".** ");
        if (row.hasMechanism()) {
            return text.append("Every role has a mechanism, and this one is furthest over its budget: ")
                .append(row.ratioText()).append('.').toString();
        }
        text.append("No package carries it");
        if (!Double.isNaN(row.timeLimitSeconds())) {
            text.append(", and of what nothing carries it is the one that a time is given for (")
                .append(timeLimitText(row)).append(')');
        }
        text.append(row.reason().isEmpty() ? ". What it needs was not measured." : ": " + row.reason() + ".");
        return text.toString();
    }

    private void configuration() {
        ConfigurationSection section = new ConfigurationSection(runs);
        line("");
        line("## " + ConfigurationSection.TITLE);
        line("");
        line(section.reason());
        line("");
        table(ConfigurationSection.COLUMNS.toArray(String[]::new));
        section.rows().forEach(row -> cells(row.toArray(String[]::new)));
    }

    private void added() {
        line("");
        line("## Time that a node adds to a call");
        line("");
        out.append("""
            Calls of many independent callers, who don't wait for each other's answers, counted from when each was due; straight to a
            small server and through a node before it, in turn. Noise is what two straight blocks differ by. All in ms, medians of the
            rounds; the budget is 0.36 ms for 99 in 100. Where the noise is over the budget, or the budget within the noise, or calls
            failed, nothing is judged. `LUPINMOUNT_JAVA_OPTS=-Dmeasure.added-time.delay-us=1000 bin/measure added-time` has a
            millisecond put between node and server, and must fall short.
            """);
        line("");
        table("Calls/s", "Straight p50, p99, p99.9", "Through p50, p99, p99.9", "Added p50", "Added p99 (lowest to highest round)",
            "Noise p50, p99", "Need / budget", "Calls, failed, rounds", "Cores: allowed, used by others", "Run");
        for (int rate : List.of(AddedTimeFigures.MEAN_RATE, AddedTimeFigures.HOTTEST_RATE)) {
            runs.addedTime(rate).ifPresentOrElse(figures -> added(rate, figures),
                () -> cells(String.valueOf(rate), "not measured", "", "", "", "", "", "", "", ""));
        }
    }

    private void added(int rate, AddedTimeFigures figures) {
        String added = times(figures, "added p99") + " (" + times(figures, "added p99 lowest round") + " to "
            + times(figures, "added p99 highest round") + ")";
        String ratio = figures.conclusive() ? CapacityCell.number(figures.time("added p99") / DesignSize.ADDED_LATENCY_MS) : "can't be judged here";
        cells(String.valueOf(rate), times(figures, "straight p50", "straight p99", "straight p99.9"),
            times(figures, "through p50", "through p99", "through p99.9"), times(figures, "added p50"), added,
            times(figures, "noise p50", "noise p99"), ratio,
            CapacityCell.number(figures.calls()) + ", " + CapacityCell.number(figures.failed()) + ", " + (int) figures.rounds(),
            (int) figures.coresAllowed() + ", " + CapacityCell.number(figures.coresUsedByOthers()), figures.run().file());
    }

    private static String times(AddedTimeFigures figures, String... names) {
        List<String> times = new ArrayList<>();
        for (String name : names) {
            double time = figures.time(name);
            times.add(Double.isNaN(time) ? "not measured" : CapacityCell.number(time));
        }
        return String.join(", ", times);
    }

    private void role(CapacityRole role) {
        line("");
        line("## " + role.title());
        line("");
        List<CapacityRow> rows = plan.rows().stream().filter(row -> row.role() == role).toList();
        line("Mechanism: " + rows.get(0).mechanism() + ". State: " + STATE_BOUNDS.get(role) + ".");
        String slopes = rows.stream().flatMap(row -> row.cells().values().stream()).filter(CapacityCell::onSlope)
            .map(cell -> "`" + cell.from() + "`").distinct().collect(Collectors.joining(", "));
        if (!slopes.isEmpty()) {
            line("Slopes that its figures come from, with residual and sizes [below](#slopes): " + slopes + ".");
        }
        line("");
        List<CapacityColumn> columns = new ArrayList<>(TABLE);
        columns.add(role.node() ? CapacityColumn.WORST_8S : CapacityColumn.MOST_CALLS);
        if (!role.node()) {
            columns.add(CapacityColumn.PROPAGATION_TIME);
        }
        List<String> titles = new ArrayList<>(List.of("When"));
        columns.forEach(column -> titles.add(column.title()));
        titles.add("Need / budget");
        table(titles.toArray(String[]::new));
        Map<List<String>, String> whenByTexts = new LinkedHashMap<>();
        for (CapacityRow row : rows) {
            List<String> texts = new ArrayList<>();
            columns.forEach(column -> texts.add(row.cells().get(column).text()));
            texts.add(row.ratioText());
            whenByTexts.merge(texts, row.event().title(), (before, next) -> before + "; " + next);
        }
        whenByTexts.forEach((texts, when) -> {
            List<String> all = new ArrayList<>(List.of(when));
            all.addAll(texts);
            cells(all.toArray(String[]::new));
        });
    }

    private void slopes() {
        line("");
        line("## Slopes");
        line("");
        line("Least squares over the sizes up to the last but one; the last was foretold and then measured, and \"apart\" is by how much");
        line("of the measured value. A row that is not linear gives no figure for a size that was not measured.");
        line("");
        table("Row", "A unit more", "At none", "Residual", "R2", "Sizes", "Foretold: apart", "");
        for (String row : runs.slopeRows()) {
            runs.slope(row).ifPresent(this::slope);
        }
        if (runs.slopeRows().isEmpty()) {
            cells("not measured", "", "", "", "", "", "", "");
        }
    }

    private void slope(MeasuredSlope slope) {
        String sizes = CapacityCell.number(slope.smallest()) + " to " + CapacityCell.number(slope.largest()) + " " + slope.over();
        cells("`" + slope.row() + "`", CapacityCell.number(slope.slope()) + " " + slope.unit(), CapacityCell.number(slope.intercept()),
            CapacityCell.number(slope.residual()), CapacityCell.number(slope.rSquared()), sizes,
            Double.isNaN(slope.predictionError()) ? "not measured" : CapacityCell.number(slope.predictionError()),
            slope.linear() ? "linear" : "**not linear**");
    }

    private void calculated() {
        line("");
        line("## Reckoned");
        line("");
        line("Arithmetic from what is given; no run is behind these.");
        line("");
        table("What", "How", "Value", "Value / budget");
        CalculatedFigure.all().forEach(r -> cells(r.what(), r.how(), CapacityCell.number(r.value()) + " " + r.unit(), r.ratio()));
    }

    private void runTable() {
        line("");
        line("## Runs");
        line("");
        table("File", "Measurement", "Nodes", "Servers", "Real nodes", "Cores", "Rounds", "Window", "Verdict");
        for (MeasuredRun run : runs.all()) {
            String failedChecks = run.failedChecks().isEmpty() ? "" : ": " + String.join(", ", run.failedChecks());
            String verdict = run.passed() ? "holds" : "falls short" + failedChecks;
            String window = run.settings().containsKey("windowSeconds") ? setting(run, "windowSeconds") + " s" : "";
            cells(run.file(), run.measurement(), setting(run, "nodes"), setting(run, "servers"), setting(run, "realNodes"),
                setting(run, "cores"), setting(run, "rounds"), window, verdict);
        }
        if (runs.all().isEmpty()) {
            cells("none", "", "", "", "", "", "", "", "");
        }
    }

    private static String setting(MeasuredRun run, String name) {
        Double value = run.settings().get(name);
        return value == null ? "" : CapacityCell.number(value);
    }

    private void table(String... titles) {
        cells(titles);
        line("| " + "--- | ".repeat(titles.length).trim());
    }

    private void cells(String... texts) {
        List<String> safe = new ArrayList<>();
        for (String text : texts) {
            // Text from a file must not terminate a cell or a line.
            safe.add(text.replace("|", "\\|").replaceAll("\\p{Cntrl}", " "));
        }
        line("| " + String.join(" | ", safe) + " |");
    }

    private void line(String text) {
        out.append(text).append('\n');
    }
}
