package onyxpaddle.control;

import java.nio.file.Path;
import java.util.List;
import onyxpaddle.config.HostPort;

/**
 * Settings of a control process.
 *
 * @param listen the address to listen at; port 0 for an ephemeral one
 * @param id its name among the control processes
 * @param folder where it stores its state; not shared with another process
 * @param epoch the epoch of a publisher; 0 for a replica
 * @param takeOverFrom the control processes that a publisher copies its initial state from; empty to start from its own disk
 * @param follow the control processes that a replica follows; empty for a publisher
 * @param fullUpdateBytesPerSecond rate limit of full updates and other large answers, over all callers
 */
public record ControlSettings(HostPort listen, String id, Path folder, long epoch, List<HostPort> takeOverFrom, List<HostPort> follow,
        long fullUpdateBytesPerSecond) {
    /** Serves 920 nodes 32 KB each within 4 s, at less than a tenth of a 1 Gbit/s link. */
    public static final long DEFAULT_FULL_UPDATE_RATE = 8L << 20;

    public ControlSettings {
        takeOverFrom = List.copyOf(takeOverFrom);
        follow = List.copyOf(follow);
    }

    public boolean publisher() {
        return epoch > 0;
    }
}
