package onyxpaddle.control;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.HttpServerCodec;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import onyxpaddle.config.HostPort;
import onyxpaddle.distribution.ConfigurationTable;
import onyxpaddle.distribution.ConfigurationTable.Change;
import onyxpaddle.distribution.ConfigurationVersion;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Long polls of as many nodes as a large fleet has, on a manually advanced clock. */
class LongPollWakeupTest {
    private static final int NODES = 4_200;

    @TempDir
    private Path folder;
    private final EmbeddedChannel clock = new EmbeddedChannel();
    private final EventLoop loop = clock.eventLoop();
    private final DiskThread disk = new DiskThread();
    private final ConfigurationTable first = ConfigurationTable.initial(1);
    private final ServedConfiguration served = new ServedConfiguration(0, 0, first, true, ControlSettings.DEFAULT_FULL_UPDATE_RATE);
    private ControlRequestHandler handler;
    private final List<EmbeddedChannel> nodes = new ArrayList<>();

    @AfterEach
    void end() {
        nodes.forEach(EmbeddedChannel::finishAndReleaseAll);
        clock.finishAndReleaseAll();
        disk.close();
    }

    private void startLongPolls() {
        clock.freezeTime();
        HostPort address = new HostPort("127.0.0.1", 0);
        ControlSettings settings = new ControlSettings(address, "r1", folder, 0, List.of(), List.of(address),
            ControlSettings.DEFAULT_FULL_UPDATE_RATE);
        handler = new ControlRequestHandler(settings, loop, disk, new StateStore(folder), served, () -> 0);
        for (int i = 0; i < NODES; i++) {
            EmbeddedChannel node = new EmbeddedChannel(new HttpServerCodec(), new ControlConnection(handler));
            nodes.add(node);
            String service = i % 2 == 0 ? "booking" : "reminders";
            String request = "GET " + ControlHarness.uri("n" + i, service, first.version(), 10_000) + " HTTP/1.1\r\n\r\n";
            node.writeInbound(Unpooled.copiedBuffer(request, StandardCharsets.US_ASCII));
        }
        assertEquals(0, takeAnswers("").size());
    }

    private List<String> takeAnswers(String part) {
        List<String> answers = new ArrayList<>();
        for (EmbeddedChannel node : nodes) {
            StringBuilder text = new StringBuilder();
            for (ByteBuf bytes = node.readOutbound(); bytes != null; bytes = node.readOutbound()) {
                text.append(bytes.toString(StandardCharsets.US_ASCII));
                bytes.release();
            }
            if (text.length() > 0) {
                assertTrue(text.toString().startsWith("HTTP/1.1 200") && text.indexOf(part) > 0, text.toString());
                answers.add(text.toString());
            }
        }
        return answers;
    }

    @Test
    void aChangeAnswersExactlyTheRequestsThatItAffects() {
        startLongPolls();
        served.install(first.withChanges(1, List.of(new Change(ControlHarness.CLASS, ControlHarness.deadline(100)))));
        handler.onUpdate();
        assertEquals(NODES / 2, takeAnswers("\"version\":\"1.1\","
            + "\"whole\":false,\"more\":false,\"stale_ms\":-1,\"entries\":[{\"key\":\"service/booking").size());
        served.install(served.table().withChanges(1, List.of(new Change(ControlHarness.OTHER, ControlHarness.deadline(100)))));
        handler.onUpdate();
        assertEquals(NODES / 2, takeAnswers("\"version\":\"1.2\"").size());
    }

    @Test
    void allRequestsAreAnsweredWithTheVersionAtTheirTimeout() {
        startLongPolls();
        served.install(first.withChanges(1, List.of()));
        handler.onUpdate();
        clock.advanceTimeBy(9_999, TimeUnit.MILLISECONDS);
        clock.runScheduledPendingTasks();
        assertEquals(0, takeAnswers("").size());
        clock.advanceTimeBy(2, TimeUnit.MILLISECONDS);
        clock.runScheduledPendingTasks();
        assertEquals(NODES, takeAnswers("\"version\":\"1.1\"").size());
    }

    @Test
    void closedConnectionsAreRemoved() {
        startLongPolls();
        nodes.forEach(EmbeddedChannel::close);
        served.install(first.withChanges(1, List.of(new Change(ControlHarness.CLASS, ControlHarness.deadline(100)))));
        handler.onUpdate();
        assertEquals(0, takeAnswers("").size());
        assertEquals(new ConfigurationVersion(1, 1), served.version());
    }
}
