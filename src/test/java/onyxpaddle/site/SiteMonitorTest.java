package onyxpaddle.site;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import onyxpaddle.site.SiteState.OperatorOverride;
import onyxpaddle.site.SiteState.Phase;
import org.junit.jupiter.api.Test;

/** The monitor tells apart a lost site, one bad server and the isolation of the own site. */
class SiteMonitorTest {
    private static final long MS = 1_000_000L;
    private static final long SILENCE = 300 * MS;

    private long now = 1_000 * MS;

    private SiteMonitor monitor(String... names) {
        SiteMonitor monitor = new SiteMonitor("east", List.of(names), SiteRules.USUAL, SILENCE);
        for (String name : names) {
            monitor.listed(now, name, 6);
            monitor.answered(now, name, name + "1");
        }
        return monitor;
    }

    /** Calls all sites for two seconds, the servers of each in turn; only the {@code answering} sites answer. */
    private void callAll(SiteMonitor monitor, List<String> all, String... answering) {
        for (int i = 0; i < 40; i++) {
            now += 50 * MS;
            for (String site : all) {
                if (List.of(answering).contains(site)) {
                    monitor.answered(now, site, site + i % 6);
                } else {
                    monitor.unreachable(now, site, site + i % 6);
                }
            }
            monitor.tick(now);
        }
    }

    @Test
    void aSiteIsLostWhileAnotherAnswersAndReturnsInSteps() {
        List<String> all = List.of("east", "north", "south");
        SiteMonitor monitor = monitor("east", "north", "south");
        callAll(monitor, all, "east", "south");
        assertEquals(Phase.LOST, monitor.state("north").phase());
        assertEquals(Phase.SOUND, monitor.state("south").phase());
        assertEquals(SiteState.TRICKLE, monitor.state("north").share());
        assertEquals(List.of(Phase.SUSPECTED, Phase.LOST), monitor.takeChanges().stream().map(SiteMonitor.PhaseChange::to).toList());
        assertEquals(List.of(), monitor.takeChanges());
        callAll(monitor, all, "east", "south", "north");
        assertEquals(Phase.RETURNING, monitor.state("north").phase());
        assertTrue(monitor.state("north").share() <= 0.25);
        for (int i = 0; i < 4; i++) {
            callAll(monitor, all, "east", "south", "north");
        }
        assertEquals(Phase.SOUND, monitor.state("north").phase());
    }

    @Test
    void isolationOfTheOwnSiteLeavesTheOthersSuspected() {
        List<String> all = List.of("east", "north", "south");
        SiteMonitor monitor = monitor("east", "north", "south");
        callAll(monitor, all, "east");
        assertTrue(monitor.ownSiteIsolated(now));
        assertEquals(Phase.SUSPECTED, monitor.state("north").phase());
        assertEquals(Phase.SUSPECTED, monitor.state("south").phase());
        assertEquals(Phase.SOUND, monitor.state("east").phase());
        callAll(monitor, all, "east", "north", "south");
        assertFalse(monitor.ownSiteIsolated(now));
        assertEquals(Phase.SOUND, monitor.state("north").phase());
    }

    @Test
    void oneBadServerDoesNotMakeASiteSuspected() {
        SiteMonitor monitor = monitor("east", "north", "south");
        for (int i = 0; i < 100; i++) {
            now += 50 * MS;
            monitor.unreachable(now, "north", "north1");
            monitor.answered(now, "east", "east1");
            monitor.answered(now, "south", "south1");
            monitor.tick(now);
        }
        assertEquals(Phase.SOUND, monitor.state("north").phase());
    }

    @Test
    void followsListsAndOperators() {
        SiteMonitor monitor = monitor("east", "north");
        monitor.listed(now, "north", 0);
        assertEquals(Phase.LOST, monitor.state("north").phase());
        monitor.override(now, "north", OperatorOverride.HOLD);
        assertEquals(0, monitor.state("north").share());
        monitor.override(now, "north", OperatorOverride.RELEASE);
        assertEquals(Phase.RETURNING, monitor.state("north").phase());
        monitor.answered(now, "nowhere", "x");
        monitor.takeChanges();
        for (int i = 0; i < 200; i++) {
            monitor.override(now, "north", i % 2 == 0 ? OperatorOverride.HOLD : OperatorOverride.RELEASE);
        }
        assertEquals(100, monitor.takeChanges().size(), "pending changes are bounded");
        assertThrows(IllegalArgumentException.class, () -> new SiteMonitor("west", List.of("east"), SiteRules.USUAL, SILENCE));
    }
}
