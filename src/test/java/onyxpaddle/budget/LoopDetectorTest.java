package onyxpaddle.budget;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Detection of requests that return to a node. */
class LoopDetectorTest {
    private final LoopDetector loops = new LoopDetector("b", 5, 3, 4);

    private static BudgetHeader header(String id, int depth, String... path) {
        return new BudgetHeader(id, "x", 3, 1, depth, List.of(path));
    }

    @Test
    void detectsALoopByThePath() {
        assertNull(loops.entered(header("r", 1, "a")));
        assertEquals("loop: b -> c -> b", loops.entered(header("r", 3, "a", "b", "c")));
        assertEquals("loop: b -> b", loops.entered(header("r", 1, "b")));
    }

    @Test
    void refusesBeyondTheMaximumDepth() {
        assertNull(loops.entered(header("r", 4, "x", "y")));
        assertEquals("passed 5 nodes, x -> y; at most 5 are allowed", loops.entered(header("r", 5, "x", "y")));
    }

    @Test
    void limitsConcurrentRequestsPerIdWhereThePathWasDropped() {
        BudgetHeader pathless = header("r", 0);
        for (int i = 0; i < 3; i++) {
            assertNull(loops.entered(pathless));
        }
        assertNotNull(loops.entered(pathless));
        loops.left(pathless);
        assertNull(loops.entered(pathless));
    }

    @Test
    void countsABoundedNumberOfIds() {
        for (int i = 0; i < 100; i++) {
            assertNull(loops.entered(header("r" + i, 0)));
        }
        assertEquals(4, loops.trackedIds());
        for (int i = 0; i < 100; i++) {
            loops.left(header("r" + i, 0));
        }
        assertEquals(0, loops.trackedIds());
    }
}
