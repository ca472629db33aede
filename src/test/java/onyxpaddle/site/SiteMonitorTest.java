package onyxpaddle.site;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import onyxpaddle.site.SiteState.Phase;
import onyxpaddle.site.SiteState.Word;
import org.junit.jupiter.api.Test;

/** What is told apart: a site lost, a link cut, one bad server, the own site cut off. */
class SiteMonitorTest {
    private static final long MS = 1_000_000L;
    private static final long SILENCE = 300 * MS;

    private long now = 1_000 * MS;

    private SiteMonitor sites(String... names) {
        SiteMonitor sites = new SiteMonitor("east", List.of(names), SiteRules.USUAL, SILENCE);
        for (String name : names) {
            sites.listed(now, name, 6);
            sites.answered(now, name, name + "1");
        }
        return sites;
    }

    /** For two seconds calls go to all sites, a server of each in turn; those named answer. */
    private void play(SiteMonitor sites, List<String> all, String... answering) {
        for (int i = 0; i < 40; i++) {
            now += 50 * MS;
            for (String site : all) {
                if (List.of(answering).contains(site)) {
                    sites.answered(now, site, site + i % 6);
                } else {
                    sites.unreachable(now, site, site + i % 6);
                }
            }
            sites.tick(now);
        }
    }

    @Test
    void aSiteThatIsLostWhileAnotherStillAnswers() {
        List<String> all = List.of("east", "north", "south");
        SiteMonitor sites = sites("east", "north", "south");
        play(sites, all, "east", "south");
        assertEquals(Phase.LOST, sites.state("north").phase());
        assertEquals(Phase.SOUND, sites.state("south").phase());
        assertEquals(SiteState.TRICKLE, sites.state("north").share());
        assertEquals(List.of(Phase.SUSPECTED, Phase.LOST), sites.changes().stream().map(SiteMonitor.Change::to).toList());
        assertEquals(List.of(), sites.changes());
        play(sites, all, "east", "south", "north");
        assertEquals(Phase.RETURNING, sites.state("north").phase());
        assertTrue(sites.state("north").share() <= 0.25);
        for (int i = 0; i < 4; i++) {
            play(sites, all, "east", "south", "north");
        }
        assertEquals(Phase.SOUND, sites.state("north").phase());
    }

    @Test
    void theOwnSiteCutOffSaysNothingOfTheOthers() {
        List<String> all = List.of("east", "north", "south");
        SiteMonitor sites = sites("east", "north", "south");
        play(sites, all, "east");
        assertTrue(sites.ownSiteCut(now));
        assertEquals(Phase.SUSPECTED, sites.state("north").phase());
        assertEquals(Phase.SUSPECTED, sites.state("south").phase());
        assertEquals(Phase.SOUND, sites.state("east").phase());
        play(sites, all, "east", "north", "south");
        assertFalse(sites.ownSiteCut(now));
        assertEquals(Phase.SOUND, sites.state("north").phase());
    }

    @Test
    void oneBadServerIsNotASite() {
        SiteMonitor sites = sites("east", "north", "south");
        for (int i = 0; i < 100; i++) {
            now += 50 * MS;
            sites.unreachable(now, "north", "north1");
            sites.answered(now, "east", "east1");
            sites.answered(now, "south", "south1");
            sites.tick(now);
        }
        assertEquals(Phase.SOUND, sites.state("north").phase());
    }

    @Test
    void listsAndOperators() {
        SiteMonitor sites = sites("east", "north");
        sites.listed(now, "north", 0);
        assertEquals(Phase.LOST, sites.state("north").phase());
        sites.operators(now, "north", Word.HOLD);
        assertEquals(0, sites.state("north").share());
        sites.operators(now, "north", Word.RELEASE);
        assertEquals(Phase.RETURNING, sites.state("north").phase());
        sites.answered(now, "nowhere", "x");
        sites.changes();
        for (int i = 0; i < 200; i++) {
            sites.operators(now, "north", i % 2 == 0 ? Word.HOLD : Word.RELEASE);
        }
        assertEquals(100, sites.changes().size(), "what nobody asks for is bounded");
        assertThrows(IllegalArgumentException.class, () -> new SiteMonitor("west", List.of("east"), SiteRules.USUAL, SILENCE));
    }
}
