package onyxpaddle;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import onyxpaddle.BalancerApi.*;

/** A balancer under test with test settings and a clock that the test moves. */
final class BalancerHarness {
    static final long MS = 1_000_000L;
    static final long SECOND = 1000 * MS;

    final RatioBalancer balancer;
    long now = 100 * SECOND;

    BalancerHarness(Settings settings, long seed) {
        balancer = new RatioBalancer(settings, seed);
    }

    static RequestClass requestClass(String name, Effect effect, KeyGroup group) {
        return new RequestClass(name, effect, group, 2 * SECOND, 400 * MS, 0, 2 * SECOND, 1, 0.5, false);
    }

    static Settings settings(RequestClass... classes) {
        return settings(new Limits(4, true, true, false, true, SECOND, 100 * MS), classes);
    }

    static Settings settings(Limits limits, RequestClass... classes) {
        return new Settings("east", List.of("east", "west"), 0, 0, 2, List.of(classes), List.of(), 1, false, false,
            Weights.NONE, List.of(), 0, 2 * MS, limits,
            new Rules(0.2, 10 * SECOND, 3, 2 * SECOND, SECOND, 10 * MS, 10 * SECOND));
    }

    static BalancerHarness withDefaults() {
        BalancerHarness node = new BalancerHarness(settings(requestClass("read", Effect.SAFE, KeyGroup.ALL),
            requestClass("write", Effect.UNSAFE, KeyGroup.ALL),
            requestClass("put", Effect.KEYED, KeyGroup.CELL)), 7);
        return node;
    }

    BalancerHarness list(String... servers) {
        List<ServerEntry> entries = new ArrayList<>();
        for (String server : servers) {
            entries.add(entry(server, ServerState.READY, 0));
        }
        handle(new Membership(ListKind.ALL, entries));
        return this;
    }

    ServerEntry entry(String server, ServerState state, long startedAt) {
        return new ServerEntry(server, "east", server.charAt(0), state, 1, startedAt);
    }

    List<Action> changes(ServerEntry... entries) {
        return handle(new Membership(ListKind.CHANGES, Arrays.asList(entries)));
    }

    List<Action> handle(Event event) {
        return balancer.handle(now, event);
    }

    List<Action> arrive(String request, String requestClass) {
        return handle(new Arrival(request, requestClass, now + 2 * SECOND, null, 0, false));
    }

    List<Action> end(String request, int attempt, String server, Outcome outcome, long latency) {
        return handle(new AttemptEnded(request, attempt, server, outcome, latency, outcome == Outcome.OK, null));
    }

    /** The server of the only Send among the actions, or null. */
    static String sent(List<Action> actions) {
        return only(actions, Send.class).map(Send::server).orElse(null);
    }

    static <T extends Action> java.util.Optional<T> only(List<Action> actions, Class<T> kind) {
        List<T> found = actions.stream().filter(kind::isInstance).map(kind::cast).toList();
        if (found.size() > 1) {
            throw new AssertionError("more than one " + kind.getSimpleName() + ": " + actions);
        }
        return found.stream().findFirst();
    }

    /** Moves the clock to the timer that the actions set and fires it. */
    List<Action> fire(List<Action> actions) {
        now += only(actions, SetTimer.class).orElseThrow().after();
        return handle(new Timer("due"));
    }

    /** Sends one request, which is served with the given latency; returns the server. */
    String serve(String request, long latency) {
        String server = sent(arrive(request, "read"));
        end(request, 0, server, Outcome.OK, latency);
        return server;
    }
}
