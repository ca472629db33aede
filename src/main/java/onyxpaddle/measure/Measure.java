package onyxpaddle.measure;

import java.nio.file.Path;
import java.util.Map;
import java.util.TreeMap;

/** The measurements by name: each prints its figures and says whether what it stands for holds. */
public final class Measure {
    /** One of them; {@code part}: how much longer than usual it runs. */
    interface Measurement {
        void run(Figures figures, double part) throws Exception;
    }

    private static final Map<String, Measurement> ALL = new TreeMap<>(Map.of(
        "bulk", new BulkMeasurement(), "pools", new PoolsMeasurement(), "rpc", new RpcMeasurement(), "rpc-mixed", new RpcMixedMeasurement(),
        "sidecar", new SidecarMeasurement(), "upgrade", new UpgradeMeasurement()));
    private static final int USAGE = 64;

    private Measure() {
    }

    /** {@code NAME [--long] [--json FILE]}; without a name it lists them. Returns the exit code. */
    public static int run(String[] args) {
        String name = null;
        boolean longer = false;
        Path json = null;
        for (int i = 0; i < args.length; i++) {
            if (args[i].equals("--long")) {
                longer = true;
            } else if (args[i].equals("--json") && i + 1 < args.length) {
                json = Path.of(args[++i]);
            } else {
                name = args[i];
            }
        }
        if (name == null) {
            ALL.keySet().forEach(System.out::println);
            return 0;
        }
        if (!ALL.containsKey(name)) {
            System.err.println("no measurement " + name + "; there are " + String.join(", ", ALL.keySet()));
            return USAGE;
        }
        Figures figures = new Figures();
        try {
            ALL.get(name).run(figures, longer ? 5 : 1);
            if (json != null) {
                figures.json(json, name);
            }
        } catch (Exception e) {
            System.out.println(name + " falls short: cannot run: " + e);
            return 1;
        }
        boolean holds = figures.shortOf().isEmpty();
        System.out.println(holds ? name + " holds" : name + " falls short: " + String.join("; ", figures.shortOf()));
        return holds ? 0 : 1;
    }
}
