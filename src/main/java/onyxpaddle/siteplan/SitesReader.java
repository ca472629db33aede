package onyxpaddle.siteplan;

import static onyxpaddle.config.Schema.optional;
import static onyxpaddle.config.Schema.plain;
import static onyxpaddle.config.Schema.required;
import static onyxpaddle.config.Schema.section;
import static onyxpaddle.config.Schema.listOf;
import static onyxpaddle.config.Schema.bounded;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import onyxpaddle.config.Faults;
import onyxpaddle.config.Schema.Kind;
import onyxpaddle.config.Schema.MapOf;
import onyxpaddle.config.Schema.Section;
import onyxpaddle.config.SchemaValidator;
import onyxpaddle.config.SourceFile;
import onyxpaddle.config.Value;
import onyxpaddle.config.ConfigView;
import onyxpaddle.site.Fleet;

/** Reads the sites file, which holds the capacity of each site and the load on it, and reports every fault in it. */
public final class SitesReader {
    private static final double MS = 1e6;
    private static final double S = 1e9;
    /** Bounds the planning time: every pair of sites takes four linear programs. */
    private static final int MAX_SITES = 12;

    private static final Section SITE = section(
        required("capacity", bounded(Kind.NUMBER, 0.001, 1e6), "requests that all its servers together process at once"),
        optional("spare", bounded(Kind.NUMBER, 0, 0.95), "0.1", "the share of it that plans leave unused"),
        required("nodes", bounded(Kind.COUNT, 1, 100_000), "node processes that take the site's clients"));
    private static final Section CROSSING = section(
        required("from", plain(Kind.NAME), "the site where clients arrive"),
        required("to", plain(Kind.NAME), "the site whose servers process the requests"),
        optional("cost", bounded(Kind.NUMBER, 0, 1e6), "0", "worth lost for each second of work that uses the link"),
        optional("most", bounded(Kind.NUMBER, 0, 1e6), "no bound", "seconds of work per second that the link can carry"));
    private static final Section CLASS = section(
        required("work", bounded(Kind.SPAN, 1_000, 600 * S), "how long a server takes for one request"),
        required("worth", bounded(Kind.NUMBER, 1e-6, 1e6), "of one served request"),
        optional("floor", bounded(Kind.NUMBER, 0, 1), "0", "the share that is served before classes are compared by worth"),
        required("per-second", new MapOf(Kind.NAME, bounded(Kind.NUMBER, 0, 1e6), false), "arrival rate by site"));
    private static final Section ROOT = section(
        required("version", bounded(Kind.COUNT, 1, 1), "of this file format"),
        required("name", plain(Kind.NAME), "of the fleet"),
        required("sites", new MapOf(Kind.NAME, SITE, false), "capacity of each site"),
        optional("crossing", listOf(CROSSING), "none", "links between sites that have a cost or a limit"),
        required("classes", new MapOf(Kind.NAME, CLASS, false), "request classes and their load"));

    private final ConfigView root;
    private final Faults faults;

    private SitesReader(ConfigView root, Faults faults) {
        this.root = root;
        this.faults = faults;
    }

    /** Reads a fleet from a file; null where the file has faults. */
    public static Fleet file(Path file, Faults faults) {
        String text = SourceFile.text(file, faults);
        return text == null ? null : text(file.toString(), text, faults);
    }

    /** Like {@link #file}, from the text of a file. */
    public static Fleet text(String name, String text, Faults faults) {
        Value value = SourceFile.parse(name, text, faults);
        if (value == null) {
            return null;
        }
        SchemaValidator.check(value, ROOT, faults);
        Fleet fleet = new SitesReader(new ConfigView(value), faults).fleet();
        return faults.any() ? null : fleet;
    }

    private Fleet fleet() {
        Map<String, Fleet.Site> sites = new LinkedHashMap<>();
        root.named("sites").forEach((name, view) ->
            sites.put(name, new Fleet.Site(view.number("capacity", 1), view.number("spare", 0.1), view.count("nodes", 1))));
        if (sites.size() > MAX_SITES) {
            faults.add(root.place("sites"), "sites", sites.size() + " sites are too many to plan for every pair", "at most " + MAX_SITES);
        }
        Map<String, Fleet.Kind> classes = new LinkedHashMap<>();
        root.named("classes").forEach((name, view) -> classes.put(name, requestClass(view, sites.keySet())));
        Fleet fleet = new Fleet(root.text("name", Kind.NAME, ""), sites, classes, crossings(sites.keySet()));
        checkCapacity(fleet);
        return fleet;
    }

    private Fleet.Kind requestClass(ConfigView view, Set<String> sites) {
        Map<String, Double> perSecond = new LinkedHashMap<>();
        view.named("per-second").forEach((site, rate) -> {
            checkKnown(view, "per-second", site, sites);
            String number = rate.self(Kind.NUMBER);
            perSecond.put(site, number == null ? 0 : Double.parseDouble(number));
        });
        return new Fleet.Kind(view.span("work", (long) MS) / S, view.number("worth", 1), view.number("floor", 0), perSecond);
    }

    private void checkKnown(ConfigView view, String key, String site, Set<String> sites) {
        if (site != null && !sites.contains(site)) {
            faults.add(view.place(key), view.path(key), "there is no site `" + site + "`", "one of " + String.join(", ", sites));
        }
    }

    private List<Fleet.Crossing> crossings(Set<String> sites) {
        List<Fleet.Crossing> all = new ArrayList<>();
        Set<String> seen = new HashSet<>();
        for (ConfigView view : root.items("crossing")) {
            String from = view.text("from", Kind.NAME, null);
            String to = view.text("to", Kind.NAME, null);
            checkKnown(view, "from", from, sites);
            checkKnown(view, "to", to, sites);
            if (from != null && from.equals(to)) {
                faults.add(view.place("to"), view.path("to"), "is the same as `from`", "another site");
            }
            if (!seen.add(from + " " + to)) {
                faults.add(view.place(), view.path(), "the link from " + from + " to " + to + " is a duplicate", "each link once");
            }
            if (!view.has("cost") && !view.has("most")) {
                faults.add(view.place(), view.path(), "has neither cost nor limit", "`cost:`, `most:` or both");
            }
            all.add(new Fleet.Crossing(String.valueOf(from), String.valueOf(to), view.number("cost", 0),
                view.number("most", Double.POSITIVE_INFINITY)));
        }
        return all;
    }

    /** Rejects a fleet that can't serve its normal load: it lacks servers, and no plan can help. */
    private void checkCapacity(Fleet fleet) {
        double work = fleet.sites().keySet().stream().mapToDouble(fleet::work).sum();
        double usable = fleet.sites().values().stream().mapToDouble(Fleet.Site::usable).sum();
        if (!fleet.sites().isEmpty() && work > usable) {
            faults.add(root.place("classes"), "classes", String.format(java.util.Locale.ROOT,
                "need %.2f seconds of work per second, but all sites together can use only %.2f", work, usable),
                "less load, more capacity, or less `spare`");
        }
    }
}
