package onyxpaddle.capacity;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;
import onyxpaddle.config.Faults;
import org.junit.jupiter.api.Test;

/** Renders the page from small result files. */
class CapacityPageTest {
    private static final String TOP = "## Over budget, or without a mechanism";

    @Test
    void withoutRunsEverythingMeasurableIsShownAsNotMeasured() {
        String page = CapacityPage.text(new MeasuredRuns(List.of()), "");
        String calm = line(section(page, "## Node beside a server, at the mean"), "| calm");
        assertTrue(calm.endsWith(" the list service is down | 4,842 B (reckoned) |" + " not measured |".repeat(7)), calm);
        assertTrue(section(page, "## Time that a node adds to a call").contains("| 261 | not measured |"), page);
        assertTrue(section(page, "## Slopes").contains("| not measured |"));
    }

    @Test
    void everyRoleListsEveryEvent() {
        String page = CapacityPage.text(new MeasuredRuns(List.of()), "");
        for (CapacityRole role : CapacityRole.values()) {
            String section = section(page, "## " + role.title());
            for (CapacityEvent event : CapacityEvent.values()) {
                boolean wanted = event != CapacityEvent.CHANGE || role == CapacityRole.CONFIGURATION;
                boolean there = section.lines().filter(l -> l.startsWith("| ")).map(l -> l.substring(2, l.indexOf(" |", 2)))
                    .anyMatch(when -> List.of(when.split("; ")).contains(event.title()));
                assertEquals(wanted, there, role + " " + event);
            }
        }
    }

    @Test
    void rolesWithoutMechanismPrecedeOtherRowsOverBudget() {
        String scale = scale(920, "", figure("sidecar-mean", "calm", "cpuControl", "core-percent", 260),
            figure("configuration", "configuration-change", "inForceAfter8s", "nodes", 900),
            figure("configuration", "configuration-change", "ofNodes", "nodes", 920));
        String top = section(page(scale), TOP);
        List<String> rows = top.lines().filter(l -> l.startsWith("| ")).skip(2).toList();
        assertEquals(3, rows.size(), top);
        assertTrue(rows.get(0).startsWith("| Owner of fleet work | calm; 240 restarts a day; a rack is lost;")
                && rows.get(0).contains("**none**"),
            "what differs by its event alone is one row: " + top);
        assertEquals("| Carrier of configuration | a change of configuration | over 1.00 | `control`, `distribution` | 8 s |",
            rows.get(1));
        assertEquals("| Node beside a server, at the mean | calm | 100 (processor time) | `membership`, `serve` |  |", rows.get(2));
        assertTrue(top.contains("**What comes first: owner of fleet work, calm.** No package carries it"), top);
    }

    @Test
    void amongRolesWithoutMechanismThoseWithTimeLimitComeFirst() {
        Map<CapacityColumn, CapacityCell> none = new EnumMap<>(CapacityColumn.class);
        CapacityRow withLimit = new CapacityRow(CapacityRole.FLEET_OWNER, CapacityEvent.OUTAGE, none, 8, Double.NaN, "");
        CapacityRow withoutLimit = new CapacityRow(CapacityRole.FLEET_OWNER, CapacityEvent.CALM, none, Double.NaN, 100, "");
        CapacityRow withMechanism = new CapacityRow(CapacityRole.FRONT, CapacityEvent.CALM, none, 8, 100, "");
        assertEquals(List.of(withLimit, withoutLimit, withMechanism),
            Stream.of(withMechanism, withoutLimit, withLimit).sorted(CapacityRow.BY_PRIORITY).toList());
    }

    @Test
    void configurationChangeIsShownBeforeAndAfterItsMechanism() {
        String page = page(scale(920, "", figure("configuration", "change", "inForceAfter8s", "nodes", 0),
            figure("configuration", "change", "ofNodes", "nodes", 5), figure("configuration", "change", "changeSeconds", "s", 0.11),
            figure("configuration", "configuration-change", "inForceAfter8s", "nodes", 920),
            figure("configuration", "configuration-change", "ofNodes", "nodes", 920),
            figure("configuration", "configuration-change", "changeSeconds", "s", 2),
            figure("configuration", "configuration-change-one-dead", "ofNodes", "nodes", 920),
            figure("configuration", "configuration-change-one-dead", "changeSeconds", "s", 12),
            figure("sidecar-mean", "configuration-change", "cpuHollow", "core-percent", 0.26),
            figure("sidecar-mean", "configuration-change", "bytes", "B/s", 1_500)));
        String section = section(page, "## " + ConfigurationSection.TITLE);
        assertTrue(section.contains("0 of 5 nodes had a change in force 8 s after it was made"), section);
        assertTrue(section.contains("21.3 deliveries a second (reckoned)"), section);
        assertTrue(line(section, "| before: ").contains("| 0.110 s | 0.000 of 5.00 |"), section);
        String after = line(section, "| a change for all nodes (920 nodes) |");
        assertTrue(after.contains("| 2.00 s | 920 of 920 |") && after.endsWith("| 0.500 |"), after);
        String dead = line(section, "| a change for all nodes, one of four processes killed (920 nodes) |");
        assertTrue(dead.contains("| 12.0 s | not all of 920 |") && dead.endsWith("| 1.50 |"), dead);
        assertTrue(line(section, "| calm |").endsWith("| not measured |"), section);
        assertFalse(section(page, TOP).contains("| Carrier of configuration |"), "it is within its 8 s: " + page);
    }

    @Test
    void rowsOverBudgetAreSortedByRatio() {
        String top = section(page(scale(920, "", figure("sidecar-mean", "calm", "cpuControl", "core-percent", 5.2),
            figure("sidecar-hottest", "calm", "cpuControl", "core-percent", 7.8),
            figure("front", "calm", "cpuControl", "core-percent", 2.5))), TOP);
        int hottest = top.indexOf("| Node beside a server of the hottest service | calm | 3.00 (processor time)");
        int mean = top.indexOf("| Node beside a server, at the mean | calm | 2.00 (processor time)");
        assertTrue(hottest > 0 && mean > hottest, top);
        assertFalse(top.contains("| Front node |"), "2.5 % is within 2.6 %: " + top);
    }

    @Test
    void ratioIsTheHighestOfAllColumns() {
        String front = calmFront(1_000, 500, 18_000);
        assertTrue(front.endsWith("| 0.750 (most bytes in 8 s) |"), front);
        String more = calmFront(2_500, 2_000, 18_000);
        assertTrue(more.endsWith("| 1.50 (bytes in and out a second) |"), more);
    }

    private static String calmFront(int bytesIn, int bytesOut, int worst8s) {
        return line(section(page(scale(920, "", figure("front", "calm", "bytesIn", "B/s", bytesIn),
            figure("front", "calm", "bytesOut", "B/s", bytesOut), figure("front", "calm", "worst8s", "B", worst8s))), "## Front node"),
            "| calm |");
    }

    @Test
    void shortEventIsComparedWithByteBudgetOfEightSeconds() {
        String front = line(section(page(scale(920, "", figure("front", "rack-loss", "bytesIn", "B/s", 50_000),
            figure("front", "rack-loss", "bytesOut", "B/s", 2_000), figure("front", "rack-loss", "worst8s", "B", 2_400))), "## Front node"),
            "| a rack is lost |");
        assertTrue(front.contains("| 50,000 B/s |") && front.endsWith("| 0.100 (most bytes in 8 s) |"), front);
    }

    @Test
    void dailyRestartsAreAveragedOverTheDay() {
        String front = line(section(page(scale(920, "", figure("front", "calm", "bytesIn", "B/s", 100),
            figure("front", "calm", "bytesOut", "B/s", 50),
            figure("front", "restart", "bytesIn", "B/s", 8_740), figure("front", "restart", "bytesOut", "B/s", 50),
            figure("front", "restart", "worst8s", "B", 60_000), figure("list-service", "restart", "seconds", "s", 100))), "## Front node"),
            "| 240 restarts a day |");
        assertTrue(front.contains("| 110 B/s (by the day's pace) | 50.0 B/s (by the day's pace) |"), front);
        assertTrue(front.contains("| 60,000 B (made faster) |"), front);
        assertTrue(front.endsWith("| 0.053 (bytes in and out a second) |"), front);
    }

    @Test
    void cpuTimeOfEventIsCalmPlusListChangesAveragedOverAtLeastEightSeconds() {
        String slope = slope(400, "linear").replace("list-service.nodes.calls", "sidecar.changes.cpu").replace("calls/s", "core-percent");
        String front = line(section(page(scale(920, slope, figure("front", "calm", "cpuControl", "core-percent", 1),
            figure("front", "rack-loss", "differences", "lists", 16), figure("list-service", "rack-loss", "seconds", "s", 0.5))),
            "## Front node"), "| a rack is lost |");
        assertTrue(front.contains("| 2.00 core-percent (slope) |"), front);
        assertTrue(front.endsWith("| 0.769 (processor time) |"), front);
    }

    @Test
    void slopeShowsItsSizesAndIsExtrapolatedBeyondTwiceTheLargest() {
        assertTrue(calmCalls(slope(400, "linear")).contains("(extrapolated)"));
        assertTrue(calmCalls(slope(460, "linear")).contains("462 calls/s (slope)"));
        assertTrue(section(page(scale(100, slope(400, "linear"))), "## List service")
            .contains("[below](#slopes): `list-service.nodes.calls`."));
        String slopes = section(page(scale(100, slope(400, "linear"))), "## Slopes");
        assertTrue(slopes.contains(
            "| `list-service.nodes.calls` | 0.500 calls/s | 2.00 | 0.250 | 0.999 | 50.0 to 400 nodes | 0.040 | linear |"), slopes);
    }

    @Test
    void nonLinearSlopeIsNotUsedForOtherSizes() {
        String calls = calmCalls(slope(460, "not-linear"));
        assertTrue(calls.contains("| not measured |") && !calls.contains("462"), calls);
        assertTrue(section(page(scale(100, slope(460, "not-linear"))), "## Slopes").contains("**not linear**"));
    }

    @Test
    void smallerFleetIsMarkedAndLargestRunIsPreferred() {
        String smaller = scale(230, "", figure("front", "cold-start", "worst8s", "B", 5_000));
        assertTrue(line(section(page(smaller), "## Front node"), "| everything starts cold |").contains("5,000 B (at 230 nodes)"));
        String whole = scale(920, "", figure("front", "cold-start", "worst8s", "B", 6_000));
        assertTrue(line(section(page(smaller, whole), "## Front node"), "| everything starts cold |").contains("| 6,000 B |"));
        assertTrue(line(section(page(whole, smaller), "## Front node"), "| everything starts cold |").contains("| 6,000 B |"));
    }

    @Test
    void addedTimeIsInconclusiveInNoisyRun() {
        String conclusive = section(page(addedTime(0.54, 0.02, 1)), "## Time that a node adds to a call");
        assertTrue(line(conclusive, "| 261 |").contains("| 1.50 |"), conclusive);
        String noisy = page(addedTime(0.54, 30, 2));
        assertTrue(line(section(noisy, "## Time that a node adds to a call"), "| 261 |").contains("| can't be judged here |"), noisy);
        assertTrue(line(section(noisy, "## Node beside a server, at the mean"), "| calm |").endsWith("| can't be judged here |"), noisy);
        assertTrue(section(page(addedTime(0.54, 0.02, 1)), TOP)
            .contains("| Node beside a server, at the mean | calm | 1.50 (added for 99 in 100 calls) |"));
        assertFalse(section(noisy, TOP).contains("at the mean"));
    }

    @Test
    void machineDescriptionAndRunVerdictsAreShown() {
        String text = scale(100, "").replace("\"holds\":true", "\"holds\":false")
            .replace("\"checks\":[]", "\"checks\":[{\"row\":\"hollow.calls\",\"holds\":false}]");
        String page = pageOf("shared with builds", text);
        assertTrue(page.contains("**Machine:** shared with builds"), page);
        assertTrue(section(page, "## Runs").contains("falls short: hollow.calls"), page);
    }

    @Test
    void packagesNamedAsMechanismExist() {
        for (CapacityRole role : CapacityRole.values()) {
            for (String name : role.packages()) {
                assertTrue(Files.isDirectory(Path.of("src/main/java/onyxpaddle", name)), "no package " + name);
            }
        }
    }

    private static String calmCalls(String slope) {
        return line(section(page(scale(100, slope)), "## List service"), "| calm");
    }

    private static String page(String... texts) {
        return pageOf("", texts);
    }

    private static String pageOf(String machine, String... texts) {
        Faults faults = new Faults();
        List<MeasuredRun> runs = new ArrayList<>();
        for (String text : texts) {
            MeasuredRun run = MeasuredRunReader.read("run.json", text, faults);
            assertNotNull(run, () -> faults.list().toString());
            runs.add(run);
        }
        return CapacityPage.text(new MeasuredRuns(runs), machine);
    }

    static String scale(int nodes, String slopes, String... figures) {
        return """
            {"measurement":"scale","form":1,"holds":true,"size":"short","fault":"none","settings":{"nodes":%d,"servers":%d},
             "slopes":[%s],"events":[],"figures":[%s],"checks":[],"cost":{}}""".formatted(nodes, nodes, slopes, String.join(",", figures));
    }

    private static String figure(String role, String event, String quantity, String unit, double value) {
        return "{\"role\":\"%s\",\"event\":\"%s\",\"quantity\":\"%s\",\"unit\":\"%s\",\"value\":%s,\"from\":\"measured\"}"
            .formatted(role, event, quantity, unit, value);
    }

    private static String slope(int largest, String verdict) {
        return """
            {"row":"list-service.nodes.calls","role":"list-service","over":"nodes","quantity":"calls","unit":"calls/s",
             "intercept":2.0,"slope":0.5,"residual":0.25,"rSquared":0.999,
             "points":[{"size":50,"rounds":[27],"median":27},{"size":%d,"rounds":[],"median":null}],
             "foretold":{"size":%d,"value":1,"measured":1,"apart":0.04},"verdict":"%s","largest":%d}"""
            .formatted(largest, largest, verdict, largest);
    }

    private static String addedTime(double added, double noise, int verdict) {
        return """
            {"measurement":"added-time","holds":%s,"figures":{"added-time 261/s added p99 (ms)":%s,"added-time 261/s noise p99 (ms)":%s,
             "added-time 261/s verdict (0 within, 1 over, 2 can't be judged)":%d}}""".formatted(verdict == 0, added, noise, verdict);
    }

    private static String section(String page, String title) {
        int from = page.indexOf("\n" + title + "\n");
        assertTrue(from >= 0, "no section " + title);
        int end = page.indexOf("\n## ", from + 1);
        return page.substring(from, end < 0 ? page.length() : end);
    }

    private static String line(String section, String start) {
        return Stream.of(section.split("\n")).filter(l -> l.startsWith(start)).findFirst()
            .orElseThrow(() -> new AssertionError("no line " + start + " in " + section));
    }
}
