package onyxpaddle.control;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.Arrays;
import java.util.List;
import onyxpaddle.distribution.ConfigurationVersion;
import org.junit.jupiter.api.Test;

class FleetStatusTest {
    private static final ConfigurationVersion OLD = new ConfigurationVersion(1, 1);
    private static final ConfigurationVersion NEW = new ConfigurationVersion(1, 2);

    private static NodeReport node(String name, ConfigurationVersion inForce, ConfigurationVersion refused, long ageMs) {
        return new NodeReport(name, "booking", NEW, inForce, refused, "", ageMs);
    }

    private static Status process(NodeReport... nodes) {
        return new Status("r", false, false, NEW, 5, nodes.length, List.of(new FollowerReport("r2", OLD, 7)), List.of(nodes));
    }

    @Test
    void theMostRecentReportOfEachNodeIsUsed() {
        NodeReport before = node("n1", OLD, ConfigurationVersion.NONE, 900);
        NodeReport now = node("n1", NEW, ConfigurationVersion.NONE, 100);
        assertEquals(List.of(now), List.copyOf(new FleetStatus(List.of(process(before), process(now)), List.of()).nodes()));
        assertTrue(new FleetStatus(List.of(process(now), process(before)), List.of()).inForce(NEW));
    }

    @Test
    void silentNodesAreListedButNotWaitedFor() {
        FleetStatus fleet = new FleetStatus(List.of(process(node("n1", NEW, ConfigurationVersion.NONE, 0),
            node("n2", OLD, ConfigurationVersion.NONE, FleetStatus.SILENT_MS + 1))), List.of());
        assertTrue(fleet.inForce(NEW));
        assertEquals(1, fleet.silent().size());
        assertFalse(new FleetStatus(List.of(process()), List.of()).inForce(NEW));
    }

    @Test
    void nodesThatRefusedTheVersionAreListed() {
        FleetStatus fleet = new FleetStatus(List.of(process(node("n1", OLD, NEW, 0), node("n2", NEW, OLD, 0))), List.of());
        assertEquals(List.of("n1"), fleet.refused(NEW).stream().map(NodeReport::node).toList());
        assertFalse(fleet.inForce(NEW));
    }

    @Test
    void aStatusSurvivesARoundTripAndTruncationIsDetected() throws IOException {
        Status status = process(node("n1", OLD, NEW, 3));
        byte[] bytes = StatusJson.write(status);
        assertEquals(status, StatusJson.read(bytes));
        for (int length = 0; length < bytes.length - 2; length++) {
            byte[] part = Arrays.copyOf(bytes, length);
            assertThrows(IOException.class, () -> StatusJson.read(part), "cut to " + length);
        }
    }
}
