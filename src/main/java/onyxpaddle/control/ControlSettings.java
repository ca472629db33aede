package onyxpaddle.control;

import java.nio.file.Path;
import java.util.List;
import onyxpaddle.config.HostPort;

/**
 * How a control process runs.
 *
 * @param listen where it is called; port 0 for one that the system chooses
 * @param id its name among the control processes
 * @param folder where it keeps its state; its own
 * @param epoch the publisher's; 0 for a replica
 * @param takeOverFrom where a publisher copies the state from before it begins; empty for its own disk
 * @param follow the control processes that a replica follows; empty for the publisher
 * @param wholeBytesPerSecond at which rate large answers are told, over all callers
 */
public record ControlSettings(HostPort listen, String id, Path folder, long epoch, List<HostPort> takeOverFrom, List<HostPort> follow,
        long wholeBytesPerSecond) {
    /** 920 nodes with 32 KB each within 4 s, at less than a tenth of a link of 1 Gbit/s. */
    public static final long DEFAULT_FULL_UPDATE_RATE = 8L << 20;

    public ControlSettings {
        takeOverFrom = List.copyOf(takeOverFrom);
        follow = List.copyOf(follow);
    }

    public boolean publisher() {
        return epoch > 0;
    }
}
