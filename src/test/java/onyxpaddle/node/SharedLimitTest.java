package onyxpaddle.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import onyxpaddle.node.SharedLimit.Share;
import org.junit.jupiter.api.Test;

/** A limit shared by several members: the total is never exceeded, and every member can use its guarantee. */
class SharedLimitTest {
    @Test
    void singleMemberMayHoldTheTotal() {
        Share only = new SharedLimit(100).join();
        assertTrue(only.take(100));
        assertFalse(only.take(1));
        only.giveBack(1);
        assertTrue(only.take(1));
    }

    @Test
    void greedyMemberLeavesTheOthersTheirGuarantee() {
        SharedLimit limit = new SharedLimit(100);
        Share greedy = limit.join();
        Share modest = limit.join();
        while (greedy.take(1)) {
            assertTrue(greedy.held() <= 75);
        }
        assertEquals(75, greedy.held());
        assertTrue(modest.take(25));
        assertFalse(modest.take(1));
    }

    @Test
    void leavingMemberGivesUpItsGuaranteeOnceAllIsReturned() {
        SharedLimit limit = new SharedLimit(100);
        Share stays = limit.join();
        Share goes = limit.join();
        assertTrue(goes.take(5));
        goes.leave();
        assertEquals(75, stays.maximum());
        goes.giveBack(5);
        assertEquals(100, stays.maximum());
    }

    /** Members that take and give back at random. */
    @Property(tries = 300, seed = "20261201")
    void totalIsNeverExceededAndGuaranteesAreKept(@ForAll @IntRange(min = 1, max = 6) int members,
            @ForAll @IntRange(min = 10, max = 5000) int total, @ForAll long seed) {
        java.util.SplittableRandom random = new java.util.SplittableRandom(seed);
        SharedLimit limit = new SharedLimit(total);
        List<Share> shares = new ArrayList<>();
        for (int i = 0; i < members; i++) {
            shares.add(limit.join());
        }
        long guarantee = members == 1 ? total : (long) (total * 0.5 / members);
        for (int step = 0; step < 400; step++) {
            Share share = shares.get(random.nextInt(members));
            int count = random.nextInt(1, total / 3 + 2);
            if (random.nextInt(3) == 0 && share.held() > 0) {
                share.giveBack(Math.min(count, share.held()));
            } else if (!share.take(count)) {
                assertTrue(share.held() + count > guarantee, "refused within its guarantee");
            }
            assertTrue(limit.held() <= total);
        }
    }
}
