package onyxpaddle.scale;

import java.util.Arrays;
import java.util.List;
import org.apache.commons.math3.stat.regression.SimpleRegression;

/**
 * A line through medians of rounds at several sizes, and whether it foretells the next size, at which it was not fitted.
 *
 * @param residual root mean square of what the fitted points lie off the line, in the values' unit
 * @param points those fitted on, and the foretold size's last
 * @param apart how far the foretold value lies from the measured one, as a part of the measured one
 */
public record SlopeFit(double intercept, double slope, double residual, double rSquared, List<Point> points, double foretold, double measured,
        double apart) {
    /** A row is linear where a size is foretold within this part of what is measured there. */
    public static final double LINEAR_WITHIN = 0.2;
    /** Sizes that a line is fitted on, at the least. */
    public static final int FEWEST_SIZES = 4;

    /** A size with its value in each round. */
    public record Point(double size, List<Double> rounds) {
        public Point {
            rounds = List.copyOf(rounds);
        }

        /** The median of its rounds. */
        public double median() {
            double[] sorted = rounds.stream().mapToDouble(d -> d).sorted().toArray();
            int middle = sorted.length / 2;
            return sorted.length % 2 == 1 ? sorted[middle] : (sorted[middle - 1] + sorted[middle]) / 2;
        }
    }

    public SlopeFit {
        points = List.copyOf(points);
    }

    /** Fits on all but the last point, which is foretold; sizes ascend, and the last is at least twice the smallest fitted. */
    public static SlopeFit of(List<Point> points) {
        if (points.size() <= FEWEST_SIZES) {
            throw new IllegalArgumentException("a slope needs " + FEWEST_SIZES + " sizes and a further one, not " + points.size());
        }
        SimpleRegression line = new SimpleRegression();
        List<Point> fitted = points.subList(0, points.size() - 1);
        fitted.forEach(point -> line.addData(point.size(), point.median()));
        Point last = points.get(points.size() - 1);
        double foretold = line.predict(last.size());
        double apart = Math.abs(foretold - last.median()) / Math.abs(last.median());
        return new SlopeFit(line.getIntercept(), line.getSlope(), Math.sqrt(line.getSumSquaredErrors() / fitted.size()), line.getRSquare(),
            points, foretold, last.median(), last.median() == foretold ? 0 : apart);
    }

    /** Whether the line may be believed at sizes that were not fitted. */
    public boolean linear() {
        return apart <= LINEAR_WITHIN;
    }

    /** The largest size that was measured. */
    public double largest() {
        return Arrays.stream(points.stream().mapToDouble(Point::size).toArray()).max().orElseThrow();
    }
}
