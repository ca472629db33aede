package onyxpaddle.measure;

import onyxpaddle.measure.Measure.Measurement;
import onyxpaddle.scale.ScaleResult;
import onyxpaddle.scale.ScaleRun;
import onyxpaddle.scale.SeededFault;

/** The scale run among the measurements; what it keeps has a form of its own, see {@link ScaleRun}. */
final class ScaleMeasurement implements Measurement {
    @Override
    public void run(Figures figures, double part) throws Exception {
        run(figures, part > 1, SeededFault.NONE, null);
    }

    /** {@code whole}: at the size of the whole fleet; {@code json}: where its results are kept, null for nowhere. */
    static void run(Figures figures, boolean whole, SeededFault fault, java.nio.file.Path json) throws Exception {
        ScaleResult result = ScaleRun.run(whole, fault, json);
        for (ScaleResult.Check check : result.checks()) {
            figures.hold(check.row(), check.value(), check.unit(), check.least(), check.most());
        }
    }
}
