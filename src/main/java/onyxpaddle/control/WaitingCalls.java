package onyxpaddle.control;

import io.netty.util.concurrent.Future;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Consumer;

/** Calls for configuration that wait for news; as many as there are connections at most. On the event loop. */
final class WaitingCalls {
    /** A call that waits, and the timer of its end. */
    record Waiting(ControlConnection connection, ConfigurationRequest request, Future<?> end) {
    }

    private final Map<ControlConnection, Waiting> waiting = new LinkedHashMap<>();

    void add(Waiting call) {
        waiting.put(call.connection(), call);
    }

    /** Takes a call out and stops its timer; does nothing where there is none. */
    void remove(ControlConnection connection) {
        Waiting call = waiting.remove(connection);
        if (call != null) {
            call.end().cancel(false);
        }
    }

    /** Looks at each once, in the order in which they came; those that are answered are to be removed by the look. */
    void each(Consumer<Waiting> look) {
        new ArrayList<>(waiting.values()).forEach(look);
    }

    int count() {
        return waiting.size();
    }
}
