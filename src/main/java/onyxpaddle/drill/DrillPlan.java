package onyxpaddle.drill;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;
import onyxpaddle.config.Faults;
import onyxpaddle.drill.Drill.LoadClass;
import onyxpaddle.drill.Drill.Site;
import onyxpaddle.site.Fleet;
import onyxpaddle.siteplan.PlanFile;
import onyxpaddle.siteplan.Planner;
import onyxpaddle.siteplan.SitesReader;

/** Writes the sites file that an operator would write for a drill, and the plan computed from it. */
public final class DrillPlan {
    private DrillPlan() {
    }

    /** The sites of a drill as input for the planner. */
    public static Fleet fleet(Drill drill) throws IOException {
        Faults faults = new Faults();
        Fleet fleet = SitesReader.text("the drill's sites", text(drill), faults);
        if (fleet == null) {
            throw new IOException("cannot compute a plan for the drill: " + faults.list());
        }
        return fleet;
    }

    /** Writes the files into a folder; returns the one that the configuration of nodes refers to. */
    static Path write(Drill drill, Path folder) throws IOException {
        Files.writeString(folder.resolve("sites.yaml"), text(drill));
        Files.writeString(folder.resolve("plan.yaml"), PlanFile.text(Planner.plan(fleet(drill))));
        return Files.writeString(folder.resolve("loss.yaml"), "version: 1\nsites: sites.yaml\nplan: plan.yaml\n");
    }

    private static String text(Drill drill) {
        StringBuilder out = new StringBuilder("version: 1\nname: " + drill.name() + "\nsites:\n");
        double totalShare = drill.sites().values().stream().mapToDouble(Site::share).sum();
        for (String name : drill.siteNames()) {
            Site site = drill.sites().get(name);
            out.append(String.format(Locale.ROOT, "  %s: {capacity: %d, nodes: %d}%n",
                name, site.boxes() * drill.boxes().atOnce(), site.nodes()));
        }
        out.append("classes:\n");
        for (LoadClass c : drill.load()) {
            long micros = drill.boxes().takesMs() * 1_000 + drill.boxes().jitterMs() * 500;
            out.append(String.format(Locale.ROOT, "  %s: {work: %d us, worth: %s, floor: %s, per-second: {",
                c.name(), micros, c.worth(), c.floor()));
            String separator = "";
            for (String name : drill.siteNames()) {
                out.append(separator).append(String.format(Locale.ROOT, "%s: %.3f",
                    name, c.perSecond() * drill.sites().get(name).share() / totalShare));
                separator = ", ";
            }
            out.append("}}\n");
        }
        return out.toString();
    }
}
