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

/** Copies the state of another control process, before a publisher of a new epoch begins. */
final class TakeOver {
    private static final Duration WITHIN = Duration.ofSeconds(10);
    /** Pages and pauses together: a state of 16 MiB has some five pages. */
    private static final int MOST_CALLS = 60;

    private final ControlClient client = new ControlClient();
    private final ControlSettings settings;

    TakeOver(ControlSettings settings) {
        this.settings = settings;
    }

    /** The newest state that any of the named processes has; all that answer hear of the new epoch first. */
    ConfigurationTable copy() throws IOException, InterruptedException {
        ConfigurationTable newest = ConfigurationTable.EMPTY;
        IOException failure = null;
        for (HostPort at : settings.takeOverFrom()) {
            try {
                // First: from then on a publisher of an earlier epoch publishes nothing that the copy would lack.
                call(at, new ConfigurationVersion(settings.epoch(), 0), ConfigurationVersion.NONE);
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
        UpdateAssembler assembly = new UpdateAssembler();
        ConfigurationVersion after = ConfigurationVersion.NONE;
        for (int i = 0; i < MOST_CALLS; i++) {
            Response response = call(at, after, assembly.firstPageVersion());
            if (response.status() == Answer.BUSY) {
                Thread.sleep(Duration.ofSeconds(Math.max(1, Math.min(WITHIN.toSeconds(), response.retryAfterSeconds()))).toMillis());
                continue;
            }
            if (response.status() != Answer.OK) {
                throw new IOException(at + " answers " + response.status() + ": " + response.text().strip());
            }
            Update page = UpdateJson.read(response.body());
            Update update = assembly.add(page);
            if (update != null) {
                return ConfigurationTable.EMPTY.apply(update).table();
            }
            after = page.lastChange();
        }
        throw new IOException(at + " does not come to the end of its state");
    }

    private Response call(HostPort at, ConfigurationVersion after, ConfigurationVersion pageOf)
            throws IOException, InterruptedException {
        String page = pageOf.equals(ConfigurationVersion.NONE) ? "" : "&page_of=" + pageOf;
        return client.get(at, "/v1/configuration?scope=all&replica=" + settings.id() + "&epoch=" + after.epoch()
            + "&after=" + after.number() + page, WITHIN, UpdateJson.MAX_BYTES);
    }
}
