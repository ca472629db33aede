package onyxpaddle.scale;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import onyxpaddle.BalancerApi.ServerEntry;
import onyxpaddle.BalancerApi.ServerState;
import onyxpaddle.membership.RosterJson;
import onyxpaddle.node.ServerList;
import org.junit.jupiter.api.Test;

/** The stand-in's differences, read by the program's own reader, come to the same as its whole lists. */
class ListTableTest {
    private static final int SERVERS = 12;
    private static final int SEEDS = 200;
    private static final int STEPS = 40;

    private static Map<String, ServerEntry> take(Map<String, ServerEntry> held, ListTable.Answer answer) throws IOException {
        ServerList roster = RosterJson.parse(ListJson.write(answer)).list();
        assertEquals(answer.version(), roster.seq());
        assertEquals(answer.whole(), roster.whole());
        Map<String, ServerEntry> next = roster.whole() ? new HashMap<>() : new HashMap<>(held);
        for (ServerEntry entry : roster.entries()) {
            if (entry.state() == ServerState.GONE) {
                next.remove(entry.server());
            } else {
                next.put(entry.server(), entry);
            }
        }
        return next;
    }

    private static ListedServer changed(SplittableRandom random) {
        ListedServer line = FleetLayout.line(0, random.nextInt(SERVERS), 0).started(random.nextInt(1_000));
        return line.with(ListedServer.Health.values()[random.nextInt(ListedServer.Health.values().length)]);
    }

    @Test
    void differencesSinceAnyVersionEqualTheWhole() throws IOException {
        for (long seed = 0; seed < SEEDS; seed++) {
            SplittableRandom random = new SplittableRandom(seed);
            ListTable table = new ListTable();
            Map<String, ServerEntry> held = take(Map.of(), table.whole());
            long version = table.version();
            for (int step = 0; step < STEPS; step++) {
                List<ListedServer> lines = new ArrayList<>();
                for (int i = random.nextInt(4); i >= 0; i--) {
                    lines.add(changed(random));
                }
                table.put(lines);
                if (random.nextInt(3) == 0) {
                    ListTable.Answer answer = table.since(version);
                    assertFalse(answer.whole());
                    held = take(held, answer);
                    version = answer.version();
                    assertEquals(take(Map.of(), table.whole()), held, "seed " + seed + ", step " + step);
                }
            }
        }
    }

    @Test
    void aWholeNamesWhatIsThereAsItIsAndNothingThatHasGone() throws IOException {
        ListTable table = new ListTable();
        table.put(List.of(FleetLayout.line(0, 1, 2).started(77), FleetLayout.line(0, 2, 0)));
        table.put(List.of(FleetLayout.line(0, 2, 0).with(ListedServer.Health.GONE)));
        List<ServerEntry> entries = RosterJson.parse(ListJson.write(table.whole())).list().entries();
        assertEquals(List.of(new ServerEntry("s-00000001", "c", 0, ServerState.READY, 1, 77_000_000)), entries);
    }

    @Test
    void aVersionThatIsNoneOfItsOwnGetsTheWhole() {
        ListTable table = new ListTable();
        table.put(List.of(FleetLayout.line(0, 1, 0)));
        assertTrue(table.since(0).whole());
        assertTrue(table.since(table.version() + 1).whole());
        assertFalse(table.since(table.version()).whole());
        assertTrue(table.since(table.version()).lines().isEmpty());
    }
}
