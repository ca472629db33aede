package onyxpaddle.socket;

import io.netty.channel.ChannelConfig;
import java.util.EnumSet;

/** Whether a connection is read: as long as there is no reason to pause. Used on the event loop only. */
public final class Reading {
    private final ChannelConfig config;
    private final EnumSet<ReadPause> pauses = EnumSet.noneOf(ReadPause.class);

    public Reading(ChannelConfig config) {
        this.config = config;
    }

    /** Pauses for this reason; false if it was paused for it already. */
    public boolean pause(ReadPause reason) {
        boolean added = pauses.add(reason);
        config.setAutoRead(false);
        return added;
    }

    /** This reason no longer applies. */
    public void resume(ReadPause reason) {
        pauses.remove(reason);
        config.setAutoRead(pauses.isEmpty());
    }

    /** Pauses or resumes, as this reason applies or not. */
    public void set(ReadPause reason, boolean on) {
        if (on) {
            resume(reason);
        } else {
            pause(reason);
        }
    }

    /** No reason applies any more. */
    public void resumeAll() {
        pauses.clear();
        config.setAutoRead(true);
    }
}
