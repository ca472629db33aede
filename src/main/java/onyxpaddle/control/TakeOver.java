package onyxpaddle.control;

import java.io.IOException;
import java.time.Duration;
import onyxpaddle.config.HostPort;
import onyxpaddle.control.ControlClient.Response;
import onyxpaddle.distribution.ConfigurationTable;
import onyxpaddle.distribution.ConfigurationVersion;
import onyxpaddle.distribution.Update;
import onyxpaddle.distribution.UpdateAssembler;
import onyxpaddle.distribution.UpdateJson;

/** Copies the state of other control processes before a publisher starts a new epoch. */
final class TakeOver {
    private static final Duration TIMEOUT = Duration.ofSeconds(10);
    /** Bounds pages and retries together; a state of 16 MiB has about five pages. */
    private static final int MAX_REQUESTS = 60;

    private final ControlClient client = new ControlClient();
    private final ControlSettings settings;

    TakeOver(ControlSettings settings) {
        this.settings = settings;
    }

    /** Returns the newest state of the named processes. Each that answers learns of the new epoch first. */
    ConfigurationTable copy() throws IOException, InterruptedException {
        ConfigurationTable newest = ConfigurationTable.EMPTY;
        IOException failure = null;
        for (HostPort at : settings.takeOverFrom()) {
            try {
                // Fences a publisher of an earlier epoch first, so that it publishes nothing that the copy would lack.
                request(at, new ConfigurationVersion(settings.epoch(), 0), ConfigurationVersion.NONE);
                ConfigurationTable copied = copy(at);
                newest = copied.version().isAfter(newest.version()) ? copied : newest;
            } catch (IOException e) {
                failure = e;
            }
        }
        if (newest.version().epoch() == 0) {
            throw failure != null ? failure : new IOException("none of " + settings.takeOverFrom() + " has a state to take over");
        }
        return newest;
    }

    private ConfigurationTable copy(HostPort at) throws IOException, InterruptedException {
        UpdateAssembler assembler = new UpdateAssembler();
        ConfigurationVersion after = ConfigurationVersion.NONE;
        for (int i = 0; i < MAX_REQUESTS; i++) {
            Response response = request(at, after, assembler.firstPageVersion());
            if (response.status() == Answer.BUSY) {
                Thread.sleep(Duration.ofSeconds(Math.max(1, Math.min(TIMEOUT.toSeconds(), response.retryAfterSeconds()))).toMillis());
                continue;
            }
            if (response.status() != Answer.OK) {
                throw new IOException(at + " answered " + response.status() + ": " + response.text().strip());
            }
            Update page = UpdateJson.read(response.body());
            Update update = assembler.add(page);
            if (update != null) {
                return ConfigurationTable.EMPTY.apply(update).table();
            }
            after = page.lastChange();
        }
        throw new IOException(at + " did not send a complete state within the allowed number of requests");
    }

    private Response request(HostPort at, ConfigurationVersion after, ConfigurationVersion pageOf)
            throws IOException, InterruptedException {
        String page = pageOf.equals(ConfigurationVersion.NONE) ? "" : "&page_of=" + pageOf;
        return client.get(at, "/v1/configuration?scope=all&replica=" + settings.id() + "&epoch=" + after.epoch()
            + "&after=" + after.number() + page, TIMEOUT, UpdateJson.MAX_BYTES);
    }
}
