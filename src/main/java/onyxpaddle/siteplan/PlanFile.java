package onyxpaddle.siteplan;

import static onyxpaddle.config.Schema.plain;
import static onyxpaddle.config.Schema.required;
import static onyxpaddle.config.Schema.section;
import static onyxpaddle.config.Schema.listOf;
import static onyxpaddle.config.Schema.bounded;

import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.HexFormat;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import onyxpaddle.config.Faults;
import onyxpaddle.config.Place;
import onyxpaddle.config.Schema;
import onyxpaddle.config.Schema.Kind;
import onyxpaddle.config.Schema.MapOf;
import onyxpaddle.config.Schema.Section;
import onyxpaddle.config.SchemaValidator;
import onyxpaddle.config.SourceFile;
import onyxpaddle.config.Value;
import onyxpaddle.config.ConfigView;
import onyxpaddle.site.FailoverPlan;
import onyxpaddle.site.FailoverPlan.Case;
import onyxpaddle.site.Fleet;

/** Writes a failover plan as the file that nodes load, and reads one, reporting every fault in it. Needs no solver. */
public final class PlanFile {
    private static final int VERSION = 1;
    /** How far the sum of shares may be from 1, as they are written with six decimals. */
    private static final double SUM_TOLERANCE = 1e-4;

    private static final MapOf SHARES = new MapOf(Kind.NAME, bounded(Kind.NUMBER, 0, 1), false);
    private static final Section CASE = section(
        required("lost", new Schema.ListOf(plain(Kind.NAME), true), "the lost sites"),
        required("served", SHARES, "by class, the share that is served"),
        required("to", new MapOf(Kind.NAME, SHARES, false), "by the site where requests arrive, the shares that go to each survivor"));
    private static final Section ROOT = section(
        required("plan", bounded(Kind.COUNT, 1, 1_000), "the version of this file format"),
        required("fleet", plain(Kind.NAME), "the name of the fleet that the plan was made for"),
        required("of", plain(Kind.TEXT), "the digest of that fleet"),
        required("cases", listOf(CASE), "the response to each loss"));

    private final Fleet fleet;
    private final ConfigView root;
    private final Faults faults;

    private PlanFile(Fleet fleet, ConfigView root, Faults faults) {
        this.fleet = fleet;
        this.root = root;
        this.faults = faults;
    }

    /** Identifies the figures of a fleet: fleets with equal figures have equal digests. */
    public static String digest(Fleet fleet) {
        try {
            byte[] hash = MessageDigest.getInstance("SHA-256").digest(fleet.toString().getBytes(StandardCharsets.UTF_8));
            return HexFormat.of().formatHex(hash, 0, 16);
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Formats a plan as the text of its file. */
    public static String text(FailoverPlan plan) {
        StringBuilder out = new StringBuilder("# Made by `lupinmount sites plan`; made anew when the sites' file changes.\n");
        out.append("plan: ").append(VERSION).append("\nfleet: ").append(plan.fleetName())
            .append("\nof: \"").append(plan.fleetDigest()).append("\"\ncases:\n");
        for (Case c : plan.cases()) {
            out.append("  - lost: [").append(String.join(", ", c.lost()))
                .append("]\n    served: ").append(shares(c.served())).append("\n    to:\n");
            c.destinations().forEach((from, shares) -> out.append("      ").append(from).append(": ").append(shares(shares)).append('\n'));
        }
        return out.toString();
    }

    private static String shares(Map<String, Double> shares) {
        List<String> entries = new ArrayList<>();
        shares.forEach((name, share) -> entries.add(name + ": " + String.format(Locale.ROOT, "%.6f", share).replaceAll("\\.?0+$", "")));
        return "{" + String.join(", ", entries) + "}";
    }

    /** Reads the plan for this fleet from a file; null where the file has faults. */
    public static FailoverPlan file(Path file, Fleet fleet, Faults faults) {
        String text = SourceFile.text(file, faults);
        return text == null ? null : read(file.toString(), text, fleet, faults);
    }

    /** Like {@link #file}, from the text of a file. */
    public static FailoverPlan read(String name, String text, Fleet fleet, Faults faults) {
        Value value = SourceFile.parse(name, text, faults);
        if (value == null) {
            return null;
        }
        SchemaValidator.check(value, ROOT, faults);
        FailoverPlan plan = new PlanFile(fleet, new ConfigView(value), faults).plan();
        return faults.any() ? null : plan;
    }

    private FailoverPlan plan() {
        if (root.count("plan", VERSION) != VERSION) {
            faults.add(root.place("plan"), "plan", "has an unsupported format version",
                "version " + VERSION + "; run `lupinmount sites plan` again");
        }
        String fleetName = root.text("fleet", Kind.NAME, fleet.name());
        String fleetDigest = root.text("of", Kind.TEXT, digest(fleet));
        if (!fleetName.equals(fleet.name())) {
            faults.add(root.place("fleet"), "fleet", "is a plan for `" + fleetName + "`", "one for `" + fleet.name() + "`");
        } else if (!fleetDigest.equals(digest(fleet))) {
            faults.add(root.place("of"), "of", "was made for other figures than the sites file has now",
                "run `lupinmount sites plan` again");
        }
        List<Case> cases = new ArrayList<>();
        Set<Set<String>> seen = new HashSet<>();
        for (ConfigView view : root.items("cases")) {
            Case c = readCase(view);
            if (!seen.add(c.lost())) {
                faults.add(view.place("lost"), view.path("lost"), "is a duplicate", "each loss once");
            }
            cases.add(c);
        }
        for (Set<String> lost : fleet.losses()) {
            if (!seen.contains(new TreeSet<>(lost))) {
                faults.add(root.place("cases"), "cases",
                    "have no entry for lost sites: " + (lost.isEmpty() ? "none" : String.join(" and ", lost)),
                    "a plan made for these sites");
            }
        }
        return new FailoverPlan(fleetDigest, fleetName, cases);
    }

    private Case readCase(ConfigView view) {
        Set<String> lost = new TreeSet<>(view.texts("lost", Kind.NAME));
        for (String site : lost) {
            checkKnown(view.place("lost"), view.path("lost"), "site", site, fleet.sites().keySet());
        }
        Map<String, Double> served = readShares(view, "served", "class", fleet.classes().keySet());
        Map<String, Map<String, Double>> destinations = new TreeMap<>();
        ConfigView sources = view.section("to");
        Set<String> survivors = new TreeSet<>(fleet.sites().keySet());
        survivors.removeAll(lost);
        for (String from : fleet.sites().keySet()) {
            Map<String, Double> shares = readShares(sources, from, null, survivors);
            double sum = shares.values().stream().mapToDouble(Double::doubleValue).sum();
            if (!shares.isEmpty() && Math.abs(sum - 1) > SUM_TOLERANCE) {
                faults.add(sources.place(from), sources.path(from), String.format(Locale.ROOT, "adds up to %.4f", sum),
                    "shares that add up to 1");
            } else if (shares.isEmpty()) {
                faults.add(sources.place(), sources.path(), "has no entry for the clients of `" + from + "`",
                    "`" + from + ": {SURVIVOR: 1}`");
            }
            destinations.put(from, shares);
        }
        view.named("to").keySet().forEach(from -> checkKnown(view.place("to"), view.path("to"), "site", from, fleet.sites().keySet()));
        for (String name : fleet.classes().keySet()) {
            if (!served.containsKey(name)) {
                faults.add(view.place("served"), view.path("served"), "has no entry for the class `" + name + "`",
                    "a share for each class");
            }
        }
        return new Case(lost, served, destinations, null);
    }

    /** Reads numbers by name and checks the names. {@code kind}: what they name, for the message; null for survivors. */
    private Map<String, Double> readShares(ConfigView view, String key, String kind, Set<String> names) {
        Map<String, Double> shares = new TreeMap<>();
        view.named(key).forEach((name, share) -> {
            checkKnown(share.place(), view.path(key), kind, name, names);
            String text = share.self(Kind.NUMBER);
            shares.put(name, text == null ? 0 : Double.parseDouble(text));
        });
        return shares;
    }

    private void checkKnown(Place place, String path, String kind, String name, Set<String> names) {
        if (!names.contains(name)) {
            faults.add(place, path,
                kind == null ? "`" + name + "` is not a survivor of this loss" : "there is no " + kind + " `" + name + "`",
                "one of " + String.join(", ", names));
        }
    }
}
