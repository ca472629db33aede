package onyxpaddle.control;

import io.netty.util.concurrent.Future;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Consumer;

/** Requests for configuration that wait for a new version, at most one per connection. Used on the event loop only. */
final class PendingLongPolls {
    /** A waiting request and its timer. */
    record LongPoll(ControlConnection connection, ConfigurationRequest request, Future<?> timeout) {
    }

    private final Map<ControlConnection, LongPoll> waiting = new LinkedHashMap<>();

    void add(LongPoll poll) {
        waiting.put(poll.connection(), poll);
    }

    /** Removes the request of a connection, if any, and cancels its timer. */
    void remove(ControlConnection connection) {
        LongPoll poll = waiting.remove(connection);
        if (poll != null) {
            poll.timeout().cancel(false);
        }
    }

    /** Applies the action to each request, in the order of arrival. The action may remove requests. */
    void forEach(Consumer<LongPoll> action) {
        new ArrayList<>(waiting.values()).forEach(action);
    }

    int count() {
        return waiting.size();
    }
}
