package onyxpaddle.drill;

import static onyxpaddle.config.Schema.optional;
import static onyxpaddle.config.Schema.plain;
import static onyxpaddle.config.Schema.required;
import static onyxpaddle.config.Schema.section;
import static onyxpaddle.config.Schema.listOf;
import static onyxpaddle.config.Schema.bounded;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Stream;
import onyxpaddle.config.Faults;
import onyxpaddle.config.Schema;
import onyxpaddle.config.Schema.Kind;
import onyxpaddle.config.Schema.MapOf;
import onyxpaddle.config.Schema.Section;
import onyxpaddle.config.SchemaValidator;
import onyxpaddle.config.SourceFile;
import onyxpaddle.config.Value;
import onyxpaddle.config.ConfigView;
import onyxpaddle.drill.Drill.BoxSettings;
import onyxpaddle.drill.Drill.Cut;
import onyxpaddle.drill.Drill.Effect;
import onyxpaddle.drill.Drill.Fault;
import onyxpaddle.drill.Drill.ListDelays;
import onyxpaddle.drill.Drill.LoadClass;
import onyxpaddle.drill.Drill.NodeSettings;
import onyxpaddle.drill.Drill.Site;

/** Reads and validates the file of a drill; reports every fault in it. */
public final class DrillReader {
    private static final double NANOS_PER_MS = 1e6;
    private static final double NANOS_PER_S = 1e9;
    /** Limits over all sites. They catch typing errors; how many processes a machine can run is for the operator to decide. */
    private static final int MAX_NODES = 10_000;
    private static final int MAX_BOXES = 10_000;

    private static final Section SITE = section(
        required("nodes", bounded(Kind.COUNT, 1, MAX_NODES), "node processes"),
        required("boxes", bounded(Kind.COUNT, 1, MAX_BOXES), "stand-in servers"),
        optional("share", bounded(Kind.NUMBER, 0, 1000), "1", "its weight in the distribution of the load over sites"));
    private static final Section BOXES = section(
        optional("at-once", bounded(Kind.COUNT, 1, 1000), "4", "concurrent requests of a box"),
        optional("takes", bounded(Kind.SPAN, 0, 10 * NANOS_PER_S), "10 ms", "service time of a request"),
        optional("jitter", bounded(Kind.SPAN, 0, 10 * NANOS_PER_S), "0 ms", "random addition to the service time, at most"),
        optional("queue", bounded(Kind.COUNT, 0, 100_000), "50", "waiting requests; any more are refused without being processed"),
        optional("drops", plain(Kind.FLAG), "true", "whether a waiting request is dropped when its caller has disconnected"),
        optional("cold", bounded(Kind.SPAN, 0, 600 * NANOS_PER_S), "0 s", "how long it is cold after its start"),
        optional("cold-from", bounded(Kind.NUMBER, 0.01, 1), "0.3", "the fraction of its capacity that it starts with"));
    private static final Section NODES = section(
        optional("attempts", bounded(Kind.COUNT, 1, 10), "3", "attempts that a request may have"),
        optional("second-copies", plain(Kind.FLAG), "true", "whether a second copy of a slow safe request may be sent"),
        optional("drain-grace", bounded(Kind.SPAN, 0, 60 * NANOS_PER_S), "2 s", "after which nothing new goes to a box that drains"),
        optional("cold-multiple", bounded(Kind.NUMBER, 1, 100), "3", "the multiple of a cold box's current capacity that it may be sent"),
        optional("cold-window", bounded(Kind.SPAN, 100 * NANOS_PER_MS, 60 * NANOS_PER_S), "2 s",
            "the window over which cold-multiple is counted"),
        optional("plan", plain(Kind.FLAG), "false", "whether they have a plan for the loss of sites, computed from this file"));
    private static final Section LISTS = section(
        optional("lost", bounded(Kind.SPAN, 0, 60 * NANOS_PER_S), "2 s", "delay until lists report that a box is gone"),
        optional("back", bounded(Kind.SPAN, 0, 60 * NANOS_PER_S), "1 s", "delay until lists report that a box is back"));
    private static final Section LOAD = section(
        required("class", plain(Kind.NAME), "its name"),
        required("per-second", bounded(Kind.NUMBER, 0.1, 100_000), "rate over all sites"),
        optional("effect", Schema.word("safe", "unsafe"), "unsafe", "what repeating one may do"),
        optional("aim", bounded(Kind.SPAN, NANOS_PER_MS, 60 * NANOS_PER_S), "300 ms", "the time within which an answer is worth something"),
        optional("deadline", bounded(Kind.SPAN, NANOS_PER_MS, 60 * NANOS_PER_S), "1 s", "how long clients wait"),
        optional("worth", bounded(Kind.NUMBER, 0, 1000), "1", "of a request that is answered within its aim"),
        optional("retries", bounded(Kind.COUNT, 0, 10), "0", "by clients after a refusal or failure, under new ids"),
        optional("floor", bounded(Kind.NUMBER, 0, 1), "0", "the fraction that a plan serves before it weighs any worth"));
    private static final Section FAULT = section(
        optional("at", bounded(Kind.SPAN, 0, 3600 * NANOS_PER_S), "0 s", "when it begins; after `after-served`, where that is given"),
        optional("after-served", bounded(Kind.COUNT, 1, 10_000_000), "none", "begins once this many requests have been served"),
        optional("for", bounded(Kind.SPAN, 0, 3600 * NANOS_PER_S), "0 s", "how long it lasts"),
        optional("kill", plain(Kind.TEXT), "none", "a node, such as `north/2`: killed, and started afresh at the end"),
        optional("stop", plain(Kind.TEXT), "none", "a node: suspended until the end"),
        optional("lose", plain(Kind.TEXT), "none", "a site: nodes killed, boxes unreachable; both start afresh at the end"),
        optional("cut", listOf(plain(Kind.TEXT)), "none", "two sites: the links from nodes of the first to boxes of the second"),
        optional("how", Schema.word("silent", "one-way", "silent-then-reset", "refused", "delayed", "slow"), "silent", "how links are cut"),
        optional("drain", plain(Kind.TEXT), "none", "a box, such as `north/s1`: listed as draining"),
        optional("freeze", plain(Kind.TEXT), "none", "a box: does not answer until the end"),
        optional("restart", plain(Kind.TEXT), "none", "a box: restarts and is cold"),
        optional("push", bounded(Kind.NUMBER, 0, 100), "none", "factor of the load"),
        optional("hush", plain(Kind.FLAG), "false", "lists are not updated"),
        optional("size", bounded(Kind.NUMBER, 0, 1_000_000), "0", "of a cut: ms of delay, or KiB a second"));
    static final Section SCHEMA = section(
        required("version", bounded(Kind.COUNT, 1, 1), "of the file format"),
        required("name", plain(Kind.NAME), "of the drill"),
        optional("seed", bounded(Kind.COUNT, 0, 1e15), "1", "one seed gives one schedule of arrivals and choices"),
        optional("lasts", bounded(Kind.SPAN, NANOS_PER_S, 3600 * NANOS_PER_S), "10 s", "how long the load lasts"),
        required("sites", new MapOf(Kind.NAME, SITE, false), "sites with their nodes and boxes"),
        optional("boxes", BOXES, "as below", "capacity of each box"),
        optional("nodes", NODES, "as below", "configuration of each node"),
        optional("lists", LISTS, "as below", "delays of lists"),
        required("load", listOf(LOAD), "classes of requests"),
        optional("faults", listOf(FAULT), "none", "schedule of faults"));

    private final ConfigView root;
    private final Faults faults;

    private DrillReader(ConfigView root, Faults faults) {
        this.root = root;
        this.faults = faults;
    }

    /** Returns null if the file has faults. */
    public static Drill file(Path file, Faults faults) {
        String text = SourceFile.text(file, faults);
        return text == null ? null : text(file.toString(), text, faults);
    }

    /** Like {@link #file}, but for text that has already been read. */
    public static Drill text(String name, String text, Faults faults) {
        Value value = SourceFile.parse(name, text, faults);
        if (value == null) {
            return null;
        }
        SchemaValidator.check(value, SCHEMA, faults);
        Drill drill = new DrillReader(new ConfigView(value), faults).drill();
        return faults.any() ? null : drill;
    }

    private Drill drill() {
        Map<String, Site> sites = new TreeMap<>();
        root.named("sites").forEach((name, view) -> sites.put(name,
            new Site(view.count("nodes", 1), view.count("boxes", 1), view.number("share", 1))));
        if (sites.values().stream().mapToInt(Site::nodes).sum() > MAX_NODES
                || sites.values().stream().mapToInt(Site::boxes).sum() > MAX_BOXES) {
            faults.add(root.place("sites"), "sites", "more processes than one machine can run",
                "at most " + MAX_NODES + " nodes and " + MAX_BOXES + " boxes in all");
        }
        if (!sites.isEmpty() && sites.values().stream().allMatch(s -> s.share() == 0)) {
            faults.add(root.place("sites"), "sites", "no site has a share of the load", "`share:` above 0 for one of them");
        }
        ConfigView boxes = root.section("boxes");
        ConfigView nodes = root.section("nodes");
        ConfigView lists = root.section("lists");
        List<LoadClass> load = new ArrayList<>();
        for (ConfigView view : root.items("load")) {
            load.add(loadClass(view, load));
        }
        List<Fault> all = new ArrayList<>();
        root.items("faults").forEach(view -> all.add(fault(view, sites)));
        return new Drill(root.text("name", Kind.NAME, ""), root.count("seed", 1), ms(root, "lasts", 10_000), sites,
            new BoxSettings(boxes.count("at-once", 4), ms(boxes, "takes", 10), ms(boxes, "jitter", 0), boxes.count("queue", 50),
                boxes.flag("drops", true),
                ms(boxes, "cold", 0), boxes.number("cold-from", 0.3)),
            new NodeSettings(nodes.count("attempts", 3), nodes.flag("second-copies", true), ms(nodes, "drain-grace", 2_000),
                nodes.number("cold-multiple", 3), ms(nodes, "cold-window", 2_000), nodes.flag("plan", false)),
            new ListDelays(ms(lists, "lost", 2_000), ms(lists, "back", 1_000)), load, all.stream().filter(f -> f != null).toList());
    }

    private LoadClass loadClass(ConfigView view, List<LoadClass> before) {
        String name = view.text("class", Kind.NAME, "");
        if (before.stream().anyMatch(c -> c.name().equals(name))) {
            faults.add(view.place("class"), view.path("class"), "`" + name + "` is a duplicate", "each class once");
        }
        long aim = ms(view, "aim", 300);
        long deadline = ms(view, "deadline", 1_000);
        if (aim > deadline) {
            faults.add(view.place("aim"), view.path("aim"), "is longer than the deadline", "an aim of " + deadline + " ms at most");
        }
        return new LoadClass(name, view.word("effect", "unsafe", "safe", "unsafe").equals("safe") ? Effect.SAFE : Effect.UNSAFE,
            view.number("per-second", 1), aim, deadline, view.number("worth", 1), view.count("retries", 0), view.number("floor", 0));
    }

    private Fault fault(ConfigView view, Map<String, Site> sites) {
        List<Drill.Kind> kinds = Stream.of(Drill.Kind.values()).filter(k -> view.has(key(k))).toList();
        if (kinds.size() != 1) {
            faults.add(view.place(), view.path(), kinds.isEmpty() ? "names no fault" : "names more than one fault",
                "one of " + String.join(", ", Stream.of(Drill.Kind.values()).map(DrillReader::key).toList()));
            return null;
        }
        Drill.Kind kind = kinds.get(0);
        String key = key(kind);
        List<String> target = switch (kind.targetType) {
            case "link" -> view.texts(key, Kind.TEXT);
            case "node", "box", "site" -> List.of(view.text(key, Kind.TEXT, ""));
            default -> List.of();
        };
        for (String name : target) {
            Set<String> known = targetNames(kind.targetType, sites);
            if (!known.contains(name)) {
                faults.add(view.place(key), view.path(key),
                    "there is no " + (kind.targetType.equals("link") ? "site" : kind.targetType) + " `" + name + "`",
                    "one of " + String.join(", ", known.stream().limit(12).toList()));
            }
        }
        if (kind == Drill.Kind.CUT && target.size() != 2) {
            faults.add(view.place(key), view.path(key), "names " + target.size() + " sites",
                "two: nodes of the first lose boxes of the second");
        }
        if (view.has("how") && kind != Drill.Kind.CUT) {
            faults.add(view.place("how"), view.path("how"), "applies to `cut:` only", "`cut:`, or no `how:`");
        }
        Cut cut = kind == Drill.Kind.CUT ? Cut.valueOf(view.word("how", "silent",
            "silent", "one-way", "silent-then-reset", "refused", "delayed", "slow")
            .toUpperCase(Locale.ROOT).replace('-', '_')) : null;
        double size = view.number("size", 0);
        if ((cut == Cut.DELAYED || cut == Cut.SLOW) && size <= 0) {
            faults.add(view.place("how"), view.path("how"), "has no size",
                "`size:` with " + (cut == Cut.SLOW ? "KiB a second" : "milliseconds"));
        }
        return new Fault(kind, ms(view, "at", 0), view.count("after-served", 0), ms(view, "for", 0), target, cut,
            kind == Drill.Kind.PUSH ? view.number(key, 1) : size);
    }

    private static Set<String> targetNames(String targetType, Map<String, Site> sites) {
        Set<String> names = new java.util.TreeSet<>();
        sites.forEach((name, site) -> {
            switch (targetType) {
                case "node" -> java.util.stream.IntStream.range(0, site.nodes()).forEach(i -> names.add(name + "/" + i));
                case "box" -> java.util.stream.IntStream.range(0, site.boxes()).forEach(i -> names.add(name + "/s" + i));
                default -> names.add(name);
            }
        });
        return names;
    }

    private static String key(Drill.Kind kind) {
        return kind.name().toLowerCase(Locale.ROOT);
    }

    private static long ms(ConfigView view, String key, long defaultMs) {
        return view.span(key, defaultMs * (long) NANOS_PER_MS) / (long) NANOS_PER_MS;
    }
}
