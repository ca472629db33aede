package onyxpaddle.node;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Guards against a limit of memory that is too small for the process and of which nobody is told. */
class MemoryLimitTest {
    private static final long MIB = 1L << 20;

    @Test
    void limitThatIsTooSmallIsKnown() {
        assertFalse(new MemoryLimit(0, 40 * MIB).isShort());
        assertFalse(new MemoryLimit(96 * MIB, 40 * MIB).isShort());
        assertTrue(new MemoryLimit(95 * MIB, 40 * MIB).isShort());
    }
}
