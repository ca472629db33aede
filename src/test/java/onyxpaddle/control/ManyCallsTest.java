package onyxpaddle.control;

import static onyxpaddle.control.ControlRig.CLASS;
import static onyxpaddle.control.ControlRig.deadline;
import static onyxpaddle.control.ControlRig.uri;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import onyxpaddle.distribution.ConfigurationTable.Change;
import onyxpaddle.distribution.ConfigurationVersion;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** As many nodes as a large fleet has, all of which wait for one change. */
class ManyCallsTest {
    private static final int NODES = 4_200;
    private static final int READ_TIMEOUT_MS = 30_000;

    @TempDir
    private Path folder;

    @Test
    void allThatWaitAreToldOfAChange() throws Exception {
        List<Socket> nodes = new ArrayList<>();
        try (ControlRig rig = new ControlRig(folder)) {
            ControlProcess publisher = rig.publisher("p", 1);
            for (int i = 0; i < NODES; i++) {
                Socket node = new Socket();
                nodes.add(node);
                node.connect(new InetSocketAddress("127.0.0.1", publisher.address().getPort()), READ_TIMEOUT_MS);
                node.setSoTimeout(READ_TIMEOUT_MS);
            }
            for (int i = 0; i < NODES; i++) {
                String call = "GET " + uri("n" + i, "booking", new ConfigurationVersion(1, 0), 10_000) + " HTTP/1.1\r\n\r\n";
                nodes.get(i).getOutputStream().write(call.getBytes(StandardCharsets.US_ASCII));
            }
            rig.await(publisher, status -> status.waiting() == NODES);
            rig.publish(publisher, new Change(CLASS, deadline(100)));
            for (Socket node : nodes) {
                byte[] start = node.getInputStream().readNBytes(200);
                String answer = new String(start, StandardCharsets.US_ASCII);
                assertTrue(answer.startsWith("HTTP/1.1 200") && answer.contains("\"version\":\"1.1\""), answer);
            }
            assertEquals(NODES, rig.status(publisher).nodes().size());
        } finally {
            for (Socket node : nodes) {
                node.close();
            }
        }
    }
}
