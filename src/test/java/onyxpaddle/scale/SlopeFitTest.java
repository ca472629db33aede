package onyxpaddle.scale;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.function.DoubleUnaryOperator;
import java.util.stream.DoubleStream;
import onyxpaddle.scale.SlopeFit.Point;
import org.junit.jupiter.api.Test;

/** Lines and curves that are made up: which are foretold at a size that was not fitted. */
class SlopeFitTest {
    private static final double CLOSE = 1e-9;

    private static List<Point> points(DoubleUnaryOperator of, double... sizes) {
        return DoubleStream.of(sizes).mapToObj(s -> new Point(s, List.of(of.applyAsDouble(s)))).toList();
    }

    @Test
    void aLineIsForetold() {
        SlopeFit fit = SlopeFit.of(points(s -> 3 + 0.5 * s, 10, 20, 30, 40, 80));
        assertEquals(0.5, fit.slope(), CLOSE);
        assertEquals(3, fit.intercept(), CLOSE);
        assertEquals(0, fit.residual(), CLOSE);
        assertEquals(43, fit.foretold(), CLOSE);
        assertEquals(43, fit.measured(), CLOSE);
        assertTrue(fit.linear());
    }

    @Test
    void theForetoldSizeIsNotFittedOn() {
        SlopeFit fit = SlopeFit.of(points(s -> s < 80 ? s : 1_000, 10, 20, 30, 40, 80));
        assertEquals(1, fit.slope(), CLOSE);
        assertEquals(80, fit.foretold(), CLOSE);
        assertEquals(1_000, fit.measured(), CLOSE);
        assertEquals(0.92, fit.apart(), CLOSE);
        assertFalse(fit.linear());
    }

    @Test
    void aSquareAndAStepAreNotLinear() {
        assertFalse(SlopeFit.of(points(s -> s * s, 10, 20, 30, 40, 80)).linear());
        assertFalse(SlopeFit.of(points(s -> s > 50 ? 50 : s, 10, 20, 30, 40, 80)).linear());
    }

    @Test
    void aFifthIsTheBound() {
        assertTrue(SlopeFit.of(points(s -> s < 80 ? s : 80 / 1.19, 10, 20, 30, 40, 80)).linear());
        assertFalse(SlopeFit.of(points(s -> s < 80 ? s : 80 / 1.21, 10, 20, 30, 40, 80)).linear());
        assertFalse(SlopeFit.of(points(s -> s < 80 ? s : 80 / 0.79, 10, 20, 30, 40, 80)).linear());
    }

    @Test
    void aRoundThatWentWrongDoesNotMoveTheLine() {
        List<Point> points = DoubleStream.of(10, 20, 30, 40, 80).mapToObj(s -> new Point(s, List.of(s, s * 100, s + 0.0))).toList();
        assertEquals(1, SlopeFit.of(points).slope(), CLOSE);
    }

    @Test
    void theResidualIsTheRootMeanSquareOfWhatTheFittedPointsLieOff() {
        // 1 above and below in turn of pairs: least squares leaves the line in the middle of each pair.
        List<Point> points = List.of(new Point(10, List.of(11.0)), new Point(20, List.of(19.0)), new Point(30, List.of(29.0)),
            new Point(40, List.of(41.0)), new Point(80, List.of(80.0)));
        assertEquals(1, SlopeFit.of(points).residual(), CLOSE);
    }

    @Test
    void fourSizesAndAFurtherOneAreNeeded() {
        assertThrows(IllegalArgumentException.class, () -> SlopeFit.of(points(s -> s, 10, 20, 30, 40)));
    }
}
