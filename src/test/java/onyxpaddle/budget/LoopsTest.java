package onyxpaddle.budget;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Requests that come back. */
class LoopsTest {
    private final Loops loops = new Loops("b", 5, 3, 4);

    private static Carried carried(String id, int depth, String... path) {
        return new Carried(id, "x", 3, 1, depth, List.of(path));
    }

    @Test
    void byThePath() {
        assertNull(loops.entered(carried("r", 1, "a")));
        assertEquals("a loop: b -> c -> b", loops.entered(carried("r", 3, "a", "b", "c")));
        assertEquals("a loop: b -> b", loops.entered(carried("r", 1, "b")));
    }

    @Test
    void byTheDepth() {
        assertNull(loops.entered(carried("r", 4, "x", "y")));
        assertEquals("passed 5 nodes, x -> y; at most 5 are allowed", loops.entered(carried("r", 5, "x", "y")));
    }

    @Test
    void byTheIdWhereThePathWasDropped() {
        Carried bare = carried("r", 0);
        for (int i = 0; i < 3; i++) {
            assertNull(loops.entered(bare));
        }
        assertNotNull(loops.entered(bare));
        loops.left(bare);
        assertNull(loops.entered(bare));
    }

    @Test
    void itsMemoryIsBounded() {
        for (int i = 0; i < 100; i++) {
            assertNull(loops.entered(carried("r" + i, 0)));
        }
        assertEquals(4, loops.remembered());
        for (int i = 0; i < 100; i++) {
            loops.left(carried("r" + i, 0));
        }
        assertEquals(0, loops.remembered());
    }
}
