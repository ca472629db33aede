package onyxpaddle.serve;

import static onyxpaddle.config.Schema.optional;
import static onyxpaddle.config.Schema.plain;
import static onyxpaddle.config.Schema.required;
import static onyxpaddle.config.Schema.section;
import static onyxpaddle.config.Schema.bounded;

import java.nio.file.Path;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import onyxpaddle.BalancerApi.Settings;
import onyxpaddle.config.Faults;
import onyxpaddle.config.Schema.Kind;
import onyxpaddle.config.Schema.Section;
import onyxpaddle.config.SchemaValidator;
import onyxpaddle.config.SourceFile;
import onyxpaddle.config.Value;
import onyxpaddle.config.ConfigView;
import onyxpaddle.node.SiteGate;
import onyxpaddle.node.Log;
import onyxpaddle.site.Fleet;
import onyxpaddle.site.FailoverPlan;
import onyxpaddle.site.PlanGate;
import onyxpaddle.site.SiteRules;
import onyxpaddle.site.SiteMonitor;
import onyxpaddle.siteplan.PlanFile;
import onyxpaddle.siteplan.SitesReader;

/** Creates the gate of a node with a file about the loss of sites. If the file cannot be used, the node logs it and has no gate. */
final class SiteGates {
    private static final double MS = 1e6;
    private static final int MAX_FAULTS_LOGGED = 10;

    private static final Section SCHEMA = section(
        required("version", bounded(Kind.COUNT, 1, 1), "the version of this format"),
        required("sites", plain(Kind.TEXT), "the file of the sites, relative to this file"),
        required("plan", plain(Kind.TEXT), "the file of the plan, relative to this file"),
        optional("confirm", bounded(Kind.SPAN, 0, 60_000 * MS), "500 ms", "how long a site is suspected before it counts as lost"),
        optional("hold", bounded(Kind.SPAN, 0, 600_000 * MS), "2 s", "minimum duration of each step when a site returns"),
        optional("silence", bounded(Kind.SPAN, MS, 60_000 * MS), "1 s", "how long after an answer a site counts as reachable"));

    private SiteGates() {
    }

    /** Null if the file, or one that it names, has faults; these are logged. */
    static SiteGate of(String file, Settings settings, long seed) {
        Faults faults = new Faults();
        SiteGate gate = read(Path.of(file), settings, seed, faults);
        faults.list().stream().limit(MAX_FAULTS_LOGGED).forEach(f -> Log.line("sites: " + f));
        Log.line(gate == null ? "sites: serving without a plan for the loss of sites" : "sites: the plan for the loss of sites is loaded");
        return gate;
    }

    private static SiteGate read(Path file, Settings settings, long seed, Faults faults) {
        Value value = SourceFile.read(file, faults);
        if (value == null) {
            return null;
        }
        SchemaValidator.check(value, SCHEMA, faults);
        ConfigView root = new ConfigView(value);
        Path folder = file.toAbsolutePath().getParent();
        if (faults.any()) {
            return null;
        }
        Fleet fleet = SitesReader.file(folder.resolve(root.text("sites", Kind.TEXT, "")), faults);
        FailoverPlan plan = fleet == null ? null : PlanFile.file(folder.resolve(root.text("plan", Kind.TEXT, "")), fleet, faults);
        if (plan == null) {
            return null;
        }
        Set<String> known = settings.classes().stream().map(c -> c.name()).collect(Collectors.toSet());
        fleet.classes().keySet().stream().filter(c -> !known.contains(c)).forEach(c ->
            faults.add(root.place("sites"), "sites", "has the class `" + c + "`, which this node does not serve", "one of " + String.join(", ", known)));
        if (!fleet.sites().containsKey(settings.zone())) {
            faults.add(root.place("sites"), "sites", "does not have this node's own site `" + settings.zone() + "`", "one of " + String.join(", ", fleet.sites().keySet()));
        }
        if (faults.any()) {
            return null;
        }
        SiteRules usual = SiteRules.USUAL;
        SiteRules rules = new SiteRules(usual.servers(), root.span("confirm", usual.confirm()), usual.steps(), root.span("hold", usual.hold()), usual.answers(),
            usual.maxFailureShare(), usual.penalty(), usual.suppress(), usual.reuse(), usual.halfLife());
        SiteMonitor sites = new SiteMonitor(settings.zone(), List.copyOf(fleet.sites().keySet()), rules, root.span("silence", 1_000_000_000L));
        return new PlanGate(fleet, plan, sites, settings.limits().retryAfter() ? settings.limits().maxRetryAfter() : 0, seed, Log::line);
    }
}
