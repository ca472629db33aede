package onyxpaddle.siteplan;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.PrintWriter;
import java.io.StringWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Set;
import onyxpaddle.command.Lupinmount;
import onyxpaddle.config.Faults;
import onyxpaddle.site.FailoverPlan;
import onyxpaddle.site.Fleet;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Reading and writing of the sites file and the plan file, the faults reported for them, and the commands that use them. */
class PlanFilesTest {
    private static final String SITES = """
        version: 1
        name: two
        sites:
          east: {capacity: 4, spare: 0, nodes: 2}
          west: {capacity: 2, spare: 0.1, nodes: 1}
        crossing:
          - {from: east, to: west, most: 1}
        classes:
          book: {work: 20 ms, worth: 3, floor: 0.5, per-second: {east: 50, west: 50}}
          slots: {work: 10 ms, worth: 1, per-second: {east: 100}}
        """;

    private static Fleet fleet() {
        Faults faults = new Faults();
        Fleet fleet = SitesReader.text("s.yaml", SITES, faults);
        assertEquals(List.of(), faults.list());
        return fleet;
    }

    @Test
    void readsTheSitesFile() {
        Fleet fleet = fleet();
        assertEquals(1.8, fleet.sites().get("west").usable(), 1e-9);
        assertEquals(2, fleet.work("east"), 1e-9);
        assertEquals(1, fleet.crossing("east", "west").most());
        assertEquals(List.of("slots", "book"), fleet.refusalOrder());
        assertEquals(400, fleet.worth(), 1e-9);
    }

    @ParameterizedTest
    @CsvSource(delimiter = '|', value = {
        "west: {capacity: 2 | west: {capacity: 0 | sites.west.capacity",
        "{from: east, to: west | {from: east, to: north | s.yaml:7:22: crossing[0].to: there is no site `north`; one of east, west",
        "{from: east, to: west | {from: east, to: east | is the same as `from`",
        "to: west, most: 1} | to: west} | has neither cost nor limit",
        "most: 1} | 'most: 1}\n  - {from: east, to: west, cost: 1}' | the link from east to west is a duplicate",
        "worth: 3 | worth: 0 | classes.book.worth",
        "'worth: 3, ' | '' | worth",
        "floor: 0.5 | floor: 1.5 | classes.book.floor",
        "{east: 100} | {esat: 100} | there is no site `esat`",
        "{east: 100} | {east: 5000} | 'need 52.00 seconds of work per second, but all sites together can use only 5.80'",
        "spare: 0.1 | spaer: 0.1 | did you mean `spare`"})
    void reportsEachFaultOfTheSitesFile(String good, String bad, String message) {
        Faults faults = new Faults();
        assertNull(SitesReader.text("s.yaml", SITES.replace(good, bad.replace("\\n", "\n")), faults));
        assertTrue(faults.list().toString().contains(message), faults.list().toString());
    }

    @Test
    void aWrittenPlanReadsBackEqual() {
        FailoverPlan plan = Planner.plan(fleet());
        Faults faults = new Faults();
        FailoverPlan read = PlanFile.read("p.yaml", PlanFile.text(plan), fleet(), faults);
        assertEquals(List.of(), faults.list());
        for (FailoverPlan.Case c : plan.cases()) {
            FailoverPlan.Case other = read.caseFor(c.lost());
            assertEquals(c.lost(), other.lost());
            c.served().forEach((name, share) -> assertEquals(share, other.served().get(name), 1e-5));
            c.destinations().forEach((from, shares) ->
                shares.forEach((to, share) -> assertEquals(share, other.destinations().get(from).get(to), 1e-5)));
        }
    }

    @ParameterizedTest
    @CsvSource(delimiter = '|', value = {
        "plan: 1 | plan: 2 | p.yaml:2:7: plan: has an unsupported format version",
        "fleet: two | fleet: three | is a plan for `three`; one for `two`",
        "of: \" | of: \"0 | was made for other figures",
        "lost: [west] | lost: [east] | is a duplicate",
        "lost: [west] | lost: [north] | there is no site `north`",
        "lost: [west] | lost: [east] | have no entry for lost sites: west",
        "book: 1, | '' | has no entry for the class `book`",
        "book: 1, | 'book: 2,' | served.book",
        "east: {east: 1} | east: {east: 0.5} | adds up to 0.5000",
        "west: {east: 1} | west: {west: 1} | `west` is not a survivor of this loss",
        "west: {west: 1} | north: {west: 1} | there is no site `north`"})
    void reportsEachFaultOfThePlanFile(String good, String bad, String message) {
        String text = PlanFile.text(Planner.plan(fleet()));
        assertTrue(text.contains(good), good + " is not in " + text);
        Faults faults = new Faults();
        assertNull(PlanFile.read("p.yaml", text.replace(good, bad), fleet(), faults));
        assertTrue(faults.list().toString().contains(message), faults.list().toString());
    }

    @Test
    void rejectsAPlanForOtherFigures() {
        String text = PlanFile.text(Planner.plan(fleet().scaled(0.9)));
        Faults faults = new Faults();
        assertNull(PlanFile.read("p.yaml", text, fleet(), faults));
        assertEquals(1, faults.list().size());
    }

    @Test
    void planExplainAndCheckCommands(@TempDir Path folder) throws Exception {
        Path sites = folder.resolve("s.yaml");
        Path plan = folder.resolve("p.yaml");
        Files.writeString(sites, SITES);
        assertTrue(output(0, "sites", "plan", sites.toString(), "--out", plan.toString()).contains("east"));
        assertTrue(output(0, "sites", "check", sites.toString(), plan.toString()).contains("was made for them"));
        String explained = output(0, "sites", "explain", sites.toString(), "--lost", "east");
        assertTrue(explained.contains("binding constraints:") && explained.contains("the usable capacity of west"), explained);
        assertTrue(output(64, "sites", "explain", sites.toString(), "--lost", "north").contains("of east, west"));
        assertTrue(output(64, "sites", "explain", sites.toString(), "--lost", "east,west").contains("not all of them"));
        Files.writeString(sites, SITES.replace("capacity: 4", "capacity: 5"));
        assertTrue(output(78, "sites", "check", sites.toString(), plan.toString()).contains("was made for other figures"));
        assertTrue(output(78, "sites", "plan", folder.resolve("none.yaml").toString()).contains("there is no such file"));
    }

    private static String output(int exitCode, String... args) {
        StringWriter out = new StringWriter();
        PrintWriter writer = new PrintWriter(out, true);
        assertEquals(exitCode, Lupinmount.run(args, writer, writer), out.toString());
        return out.toString();
    }

    @Test
    void theShippedExampleHasAPlan() {
        Faults faults = new Faults();
        Fleet fleet = SitesReader.file(Path.of("deploy/sites/booking.sites.yaml"), faults);
        assertNotNull(fleet, faults.list().toString());
        assertEquals(1.0, Planner.solve(fleet, Set.of("north")).served().get("campaign"), 1e-6);
    }
}
