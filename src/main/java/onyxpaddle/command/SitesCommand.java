package onyxpaddle.command;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.Callable;
import onyxpaddle.config.Faults;
import onyxpaddle.site.Fleet;
import onyxpaddle.site.FailoverPlan;
import onyxpaddle.siteplan.PlanFile;
import onyxpaddle.siteplan.PlanReport;
import onyxpaddle.siteplan.Planner;
import onyxpaddle.siteplan.SitesReader;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** Plans for the loss of whole sites. */
@Command(name = "sites", mixinStandardHelpOptions = true, synopsisSubcommandLabel = "COMMAND",
    description = "Plans where load goes, and what is refused first, after the loss of whole sites.",
    footer = "%nExample: lupinmount sites plan deploy/sites/booking.sites.yaml --out /tmp/booking.plan.yaml")
final class SitesCommand implements Callable<Integer> {
    private static final int INVALID_FILE = 78;

    @Spec
    private CommandSpec spec;

    @Override
    public Integer call() {
        spec.commandLine().usage(spec.commandLine().getErr());
        return Lupinmount.USAGE;
    }

    @Command(name = "plan", mixinStandardHelpOptions = true,
        description = "Plans for the loss of each site and of each pair of sites, and shows the results.")
    int plan(@Parameters(paramLabel = "SITES") Path file,
            @Option(names = "--out", paramLabel = "PLAN",
                description = "the file to write the plan to, atomically") Path out) throws IOException {
        Faults faults = new Faults();
        Fleet fleet = SitesReader.file(file, faults);
        if (fleet == null) {
            return report(faults);
        }
        FailoverPlan plan;
        try {
            plan = Planner.plan(fleet);
        } catch (NoClassDefFoundError e) {
            return solverMissing();
        }
        PlanReport.table(fleet, plan).forEach(spec.commandLine().getOut()::println);
        if (out != null) {
            Path temporary = out.resolveSibling(out.getFileName() + ".new");
            Files.writeString(temporary, PlanFile.text(plan));
            Files.move(temporary, out, StandardCopyOption.REPLACE_EXISTING, StandardCopyOption.ATOMIC_MOVE);
        }
        return 0;
    }

    @Command(name = "explain", mixinStandardHelpOptions = true,
        description = "Explains one loss: where load goes, what is refused and why, and the price.")
    int explain(@Parameters(paramLabel = "SITES") Path file,
            @Option(names = "--lost", paramLabel = "SITE", split = ",",
                description = "the lost sites, separated by commas") List<String> lost) {
        Faults faults = new Faults();
        Fleet fleet = SitesReader.file(file, faults);
        if (fleet == null) {
            return report(faults);
        }
        Set<String> gone = lost == null ? Set.of() : new TreeSet<>(lost);
        if (!fleet.sites().keySet().containsAll(gone) || gone.size() == fleet.sites().size()) {
            spec.commandLine().getErr().println("--lost: of " + String.join(", ", fleet.sites().keySet()) + ", and not all of them");
            return Lupinmount.USAGE;
        }
        try {
            PlanReport.explain(fleet, gone).forEach(spec.commandLine().getOut()::println);
            return 0;
        } catch (NoClassDefFoundError e) {
            return solverMissing();
        }
    }

    @Command(name = "check", mixinStandardHelpOptions = true,
        description = "Checks a sites file and, if a plan is given, that the plan was made for it.")
    int check(@Parameters(paramLabel = "SITES") Path file, @Parameters(paramLabel = "PLAN", arity = "0..1") Path plan) {
        Faults faults = new Faults();
        Fleet fleet = SitesReader.file(file, faults);
        if (fleet == null || plan != null && PlanFile.file(plan, fleet, faults) == null) {
            return report(faults);
        }
        PrintWriter out = spec.commandLine().getOut();
        out.println(file + ": " + fleet.sites().size() + " sites, " + fleet.classes().size() + " classes"
            + (plan == null ? "" : "; " + plan + " was made for them"));
        return 0;
    }

    private int report(Faults faults) {
        faults.list().forEach(spec.commandLine().getErr()::println);
        return INVALID_FILE;
    }

    private int solverMissing() {
        spec.commandLine().getErr().println(
            "the solver library is missing: run bin/lupinmount from a checkout in which `mvn package` has copied it to target/tools");
        return Lupinmount.CANNOT_RUN;
    }
}
