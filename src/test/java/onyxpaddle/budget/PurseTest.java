package onyxpaddle.budget;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

/** Shares go out and come back, and never more than there was. */
class PurseTest {
    private static void holds(Purse purse) {
        assertEquals(purse.given(), purse.left() + purse.out() + purse.used());
        assertTrue(purse.left() >= 0 && purse.out() >= 0 && purse.used() >= 0);
    }

    @Test
    void aThirdStaysBackAndWhatWasNotUsedIsThereForTheNext() {
        Purse purse = new Purse(6);
        Purse.Share first = purse.take(false);
        assertEquals(4, first.size());
        first.used(1);
        assertEquals(5, purse.left());
        Purse.Share second = purse.take(false);
        assertEquals(3, second.size());
        second.spent();
        assertEquals(2, purse.left());
        assertEquals(1, purse.take(false).size());
        assertEquals(1, purse.take(false).size());
        assertNull(purse.take(false));
        holds(purse);
    }

    @Test
    void innermostAttemptsTakeOneEach() {
        Purse purse = new Purse(3);
        for (int i = 0; i < 3; i++) {
            assertEquals(1, purse.take(true).size());
        }
        assertNull(purse.take(true));
    }

    @Test
    void whatIsSaidIsTakenWithinReason() {
        for (int said : new int[] {-5, 0, 1}) {
            Purse purse = new Purse(6);
            purse.take(false).used(said);
            assertEquals(1, purse.used());
        }
        Purse purse = new Purse(6);
        purse.take(false).used(1_000_000);
        assertEquals(4, purse.used());
        Purse nothing = new Purse(0);
        assertNull(nothing.take(false));
    }

    @Test
    void aShareSettlesOnceAndNothingIsTakenAfterTheEnd() {
        Purse purse = new Purse(6);
        Purse.Share share = purse.take(false);
        assertEquals(4, purse.close(), "what is out is spent as far as the answer knows");
        share.used(1);
        share.giveBack();
        share.spent();
        assertEquals(1, purse.used());
        assertNull(purse.take(false));
        assertEquals(0, purse.left());
    }

    @Property(tries = 500, seed = "50")
    void theSumHoldsInAnyOrder(@ForAll Random random) {
        Purse purse = new Purse(random.nextInt(30));
        List<Purse.Share> shares = new ArrayList<>();
        for (int step = 0; step < 200; step++) {
            Purse.Share share = random.nextInt(3) == 0 ? purse.take(random.nextBoolean()) : null;
            if (share != null) {
                shares.add(share);
            } else if (!shares.isEmpty()) {
                Purse.Share one = shares.get(random.nextInt(shares.size()));
                switch (random.nextInt(3)) {
                    case 0 -> one.giveBack();
                    case 1 -> one.used(random.nextInt(20) - 5);
                    default -> one.spent();
                }
            }
            holds(purse);
        }
    }
}
