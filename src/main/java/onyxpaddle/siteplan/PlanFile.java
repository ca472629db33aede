package onyxpaddle.siteplan;

import static onyxpaddle.config.Shape.plain;
import static onyxpaddle.config.Shape.required;
import static onyxpaddle.config.Shape.section;
import static onyxpaddle.config.Shape.some;
import static onyxpaddle.config.Shape.within;

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
import onyxpaddle.config.Shape;
import onyxpaddle.config.Shape.Kind;
import onyxpaddle.config.Shape.MapOf;
import onyxpaddle.config.Shape.Section;
import onyxpaddle.config.ShapeCheck;
import onyxpaddle.config.SourceFile;
import onyxpaddle.config.Value;
import onyxpaddle.config.View;
import onyxpaddle.site.Fleet;
import onyxpaddle.site.FailoverPlan;
import onyxpaddle.site.FailoverPlan.Case;

/** A plan as a file that nodes load: writes one, and reads one with all that is wrong with it. Needs no solver. */
public final class PlanFile {
    private static final int VERSION = 1;
    /** How far parts that are written with six digits may be from adding up to one. */
    private static final double ROUNDED = 1e-4;

    private static final MapOf PARTS = new MapOf(Kind.NAME, within(Kind.NUMBER, 0, 1), false);
    private static final Section CASE = section(
        required("lost", new Shape.ListOf(plain(Kind.NAME), true), "the sites that are lost"),
        required("served", PARTS, "by class, the part that is served"),
        required("to", new MapOf(Kind.NAME, PARTS, false), "by the site at which requests come, the parts that go to each survivor"));
    private static final Section ALL = section(
        required("plan", within(Kind.COUNT, 1, 1_000), "the version of this form"),
        required("fleet", plain(Kind.NAME), "the name of what it was made for"),
        required("of", plain(Kind.TEXT), "its digest"),
        required("cases", some(CASE), "what is done for each loss"));

    private final Fleet fleet;
    private final View root;
    private final Faults faults;

    private PlanFile(Fleet fleet, View root, Faults faults) {
        this.fleet = fleet;
        this.root = root;
        this.faults = faults;
    }

    /** Tells a fleet from others: two with the same figures have the same. */
    public static String digest(Fleet fleet) {
        try {
            byte[] hash = MessageDigest.getInstance("SHA-256").digest(fleet.toString().getBytes(StandardCharsets.UTF_8));
            return HexFormat.of().formatHex(hash, 0, 16);
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(e);
        }
    }

    /** The text of a plan's file. */
    public static String text(FailoverPlan plan) {
        StringBuilder out = new StringBuilder("# Made by `lupinmount sites plan`; made anew when the sites' file changes.\n");
        out.append("plan: ").append(VERSION).append("\nfleet: ").append(plan.fleet()).append("\nof: \"").append(plan.of()).append("\"\ncases:\n");
        for (Case c : plan.cases()) {
            out.append("  - lost: [").append(String.join(", ", c.lost())).append("]\n    served: ").append(parts(c.served())).append("\n    to:\n");
            c.to().forEach((from, parts) -> out.append("      ").append(from).append(": ").append(parts(parts)).append('\n'));
        }
        return out.toString();
    }

    private static String parts(Map<String, Double> parts) {
        List<String> words = new ArrayList<>();
        parts.forEach((name, part) -> words.add(name + ": " + String.format(Locale.ROOT, "%.6f", part).replaceAll("\\.?0+$", "")));
        return "{" + String.join(", ", words) + "}";
    }

    /** The plan in a file, which has to be one for this fleet; null where it has faults. */
    public static FailoverPlan file(Path file, Fleet fleet, Faults faults) {
        String text = SourceFile.text(file, faults);
        return text == null ? null : read(file.toString(), text, fleet, faults);
    }

    /** As {@link #file}, of a file's text. */
    public static FailoverPlan read(String name, String text, Fleet fleet, Faults faults) {
        Value value = SourceFile.parse(name, text, faults);
        if (value == null) {
            return null;
        }
        ShapeCheck.check(value, ALL, faults);
        FailoverPlan plan = new PlanFile(fleet, new View(value), faults).all();
        return faults.any() ? null : plan;
    }

    private FailoverPlan all() {
        if (root.count("plan", VERSION) != VERSION) {
            faults.add(root.place("plan"), "plan", "is of another version of the program", "version " + VERSION + ": `lupinmount sites plan` makes it anew");
        }
        String fleetName = root.text("fleet", Kind.NAME, fleet.name());
        String of = root.text("of", Kind.TEXT, digest(fleet));
        if (!fleetName.equals(fleet.name())) {
            faults.add(root.place("fleet"), "fleet", "is a plan for `" + fleetName + "`", "one for `" + fleet.name() + "`");
        } else if (!of.equals(digest(fleet))) {
            faults.add(root.place("of"), "of", "was made for other figures than the sites' file has now", "`lupinmount sites plan` makes it anew");
        }
        List<Case> cases = new ArrayList<>();
        Set<Set<String>> seen = new HashSet<>();
        for (View view : root.items("cases")) {
            Case c = one(view);
            if (!seen.add(c.lost())) {
                faults.add(view.place("lost"), view.path("lost"), "stands twice", "each loss once");
            }
            cases.add(c);
        }
        for (Set<String> lost : fleet.losses()) {
            if (!seen.contains(new TreeSet<>(lost))) {
                faults.add(root.place("cases"), "cases", "say nothing of the loss of " + (lost.isEmpty() ? "none" : String.join(" and ", lost)),
                    "a plan made for these sites");
            }
        }
        return new FailoverPlan(of, fleetName, cases);
    }

    private Case one(View view) {
        Set<String> lost = new TreeSet<>(view.texts("lost", Kind.NAME));
        for (String site : lost) {
            known(view.place("lost"), view.path("lost"), "site", site, fleet.sites().keySet());
        }
        Map<String, Double> served = numbers(view, "served", "class", fleet.classes().keySet());
        Map<String, Map<String, Double>> to = new TreeMap<>();
        View ways = view.section("to");
        Set<String> survivors = new TreeSet<>(fleet.sites().keySet());
        survivors.removeAll(lost);
        for (String from : fleet.sites().keySet()) {
            Map<String, Double> parts = numbers(ways, from, null, survivors);
            double sum = parts.values().stream().mapToDouble(Double::doubleValue).sum();
            if (!parts.isEmpty() && Math.abs(sum - 1) > ROUNDED) {
                faults.add(ways.place(from), ways.path(from), String.format(Locale.ROOT, "adds up to %.4f", sum), "parts that add up to 1");
            } else if (parts.isEmpty()) {
                faults.add(ways.place(), ways.path(), "does not say where the clients of `" + from + "` go", "`" + from + ": {SURVIVOR: 1}`");
            }
            to.put(from, parts);
        }
        view.named("to").keySet().forEach(from -> known(view.place("to"), view.path("to"), "site", from, fleet.sites().keySet()));
        for (String name : fleet.classes().keySet()) {
            if (!served.containsKey(name)) {
                faults.add(view.place("served"), view.path("served"), "does not say what becomes of the class `" + name + "`", "a part for each class");
            }
        }
        return new Case(lost, served, to, null);
    }

    /** Plain numbers under names that have to be known. {@code what}: null for survivors. */
    private Map<String, Double> numbers(View view, String key, String what, Set<String> names) {
        Map<String, Double> numbers = new TreeMap<>();
        view.named(key).forEach((name, number) -> {
            known(number.place(), view.path(key), what, name, names);
            String text = number.self(Kind.NUMBER);
            numbers.put(name, text == null ? 0 : Double.parseDouble(text));
        });
        return numbers;
    }

    private void known(Place place, String path, String what, String name, Set<String> names) {
        if (!names.contains(name)) {
            faults.add(place, path, what == null ? "`" + name + "` is no survivor of this loss" : "there is no " + what + " `" + name + "`",
                "one of " + String.join(", ", names));
        }
    }
}
