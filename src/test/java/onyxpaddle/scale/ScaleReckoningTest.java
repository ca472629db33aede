package onyxpaddle.scale;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** What would not fit is refused before it starts, with a sentence. */
class ScaleReckoningTest {
    private static final long MUCH = 64 << 10;
    private static final long FILES = 20_000;

    @Test
    void bothFormsFit() {
        assertNull(ScaleReckoning.of(ScaleSize.shortForm(), RealNodes.count()).refusal(MUCH, FILES));
        assertNull(ScaleReckoning.of(ScaleSize.longForm(), RealNodes.count()).refusal(MUCH, FILES));
    }

    @Test
    void eachThatDoesNotFitIsNamed() {
        assertEquals("it would start 309 processes, and may start 300", ScaleReckoning.of(ScaleSize.shortForm(), 300).refusal(MUCH, FILES));
        ScaleReckoning large = ScaleReckoning.of(ScaleSize.shortForm(), 150);
        assertTrue(large.refusal(MUCH, FILES).matches("it would take \\d+ MiB of memory, and may take 12288"), large.refusal(MUCH, FILES));
        ScaleReckoning usual = ScaleReckoning.of(ScaleSize.longForm(), RealNodes.count());
        assertTrue(usual.refusal(1_000, FILES).matches("it would take \\d+ MiB of memory, and the machine has 1000 free"));
        assertTrue(usual.refusal(MUCH, 1_024).matches("one of its processes would open \\d+ files and sockets, and may open 1024"));
    }

    @Test
    void whatIsNotKnownRefusesNothing() {
        assertNull(ScaleReckoning.of(ScaleSize.longForm(), RealNodes.count()).refusal(0, 0));
    }
}
