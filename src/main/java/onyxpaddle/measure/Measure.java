package onyxpaddle.measure;

import java.nio.file.Path;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Callable;
import onyxpaddle.scale.SeededFault;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** The measurements by name: each prints its figures and says whether what it stands for holds. */
@Command(name = "measure", mixinStandardHelpOptions = true, description = "Lists the measurements, or runs one.",
    exitCodeListHeading = "%nExit codes:%n", exitCodeList = {"0:it holds", "1:it falls short", "64:wrong usage"},
    footer = "%nExample: lupinmount measure upgrade --long")
public final class Measure implements Callable<Integer> {
    /** One of them; {@code part}: how much longer than usual it runs. */
    interface Measurement {
        void run(Figures figures, double part) throws Exception;
    }

    private static final Map<String, Measurement> ALL = new TreeMap<>(Map.of("bgp", new BgpMeasurement(), "bulk", new BulkMeasurement(),
        "decisions", new DecisionsMeasurement(), "drills", new DrillsMeasurement(), "pools", new PoolsMeasurement(), "rpc", new RpcMeasurement(),
        "rpc-mixed", new RpcMixedMeasurement(), "sidecar", new SidecarMeasurement(), "upgrade", new UpgradeMeasurement()));

    static {
        ALL.put("added-time", new AddedTimeMeasurement());
        ALL.put("sites", new SitesMeasurement());
        ALL.put("scale", new ScaleMeasurement());
        ALL.put("starvation", new StarvationMeasurement());
    }

    @Spec
    private CommandSpec spec;

    @Parameters(arity = "0..1", paramLabel = "NAME", description = "without it they are listed")
    private String name;

    @Option(names = "--long", description = "five times as long")
    private boolean longer;

    @Option(names = "--json", paramLabel = "FILE", description = "keeps the figures")
    private Path json;

    @Option(names = "--fault", paramLabel = "NAME", description = "of `scale`: puts a fault in, by which it has to fall short")
    private String fault;

    @Override
    public Integer call() {
        if (name == null) {
            ALL.keySet().forEach(System.out::println);
            return 0;
        }
        if (!ALL.containsKey(name)) {
            throw new ParameterException(spec.commandLine(), "no measurement " + name + "; there are " + String.join(", ", ALL.keySet()));
        }
        if (fault != null && !name.equals("scale")) {
            throw new ParameterException(spec.commandLine(), "only `scale` has faults to put in");
        }
        Figures figures = new Figures();
        try {
            measure(figures);
        } catch (Exception e) {
            System.out.println(name + " falls short: cannot run: " + e);
            return 1;
        }
        boolean holds = figures.shortOf().isEmpty();
        System.out.println(holds ? name + " holds" : name + " falls short: " + String.join("; ", figures.shortOf()));
        return holds ? 0 : 1;
    }

    private void measure(Figures figures) throws Exception {
        if (name.equals("scale")) {
            ScaleMeasurement.run(figures, longer, fault == null ? SeededFault.NONE : SeededFault.of(fault), json);
            return;
        }
        ALL.get(name).run(figures, longer ? 5 : 1);
        if (json != null) {
            figures.json(json, name);
        }
    }
}
