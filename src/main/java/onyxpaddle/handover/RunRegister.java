package onyxpaddle.handover;

import java.util.List;

/** The requests of a process that must run once, as the other processes of the node have to know of them. */
public interface RunRegister {
    /** All that may have run lately or may run now. */
    List<RunMessage> current();

    /** Another process tells of a request. */
    void received(RunMessage message);
}
