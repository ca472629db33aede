package onyxpaddle;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import onyxpaddle.BalancerApi.*;

/** Many decision modules with seeds and numbers of their own on one handed-in clock, and what they do together. */
final class Herd {
    private static final long SECOND = Node.SECOND;

    /** How a server answers an attempt that is sent to it: the outcome, and after how long. */
    interface Servers {
        record Reply(Outcome outcome, long after) {
        }

        Reply reply(int node, String server, long now);
    }

    record Sent(long at, int node, String server) {
    }

    final List<RatioBalancer> nodes = new ArrayList<>();
    final List<Sent> sent = new ArrayList<>();
    final Random random;
    /** How much of the load each node gets, as a part of the sum. */
    private final double[] weights;
    long now = 100 * SECOND;
    int offered;
    int served;
    private final Servers servers;
    private final PriorityQueue<Planned> plan = new PriorityQueue<>();
    private final Map<String, Integer> attempts = new HashMap<>();
    private long count;

    private record Planned(long at, long number, Runnable what) implements Comparable<Planned> {
        @Override
        public int compareTo(Planned other) {
            return at != other.at ? Long.compare(at, other.at) : Long.compare(number, other.number);
        }
    }

    Herd(Settings plain, int nodes, long seed, Servers servers) {
        random = new Random(seed);
        weights = new double[nodes];
        Arrays.fill(weights, 1);
        this.servers = servers;
        for (int self = 0; self < nodes; self++) {
            this.nodes.add(module(plain, self));
        }
    }

    static ServerEntry entry(String server, ServerState state, long startedAt) {
        return entry(server, "east", state, startedAt);
    }

    static ServerEntry entry(String server, String zone, ServerState state, long startedAt) {
        return new ServerEntry(server, zone, 0, state, 1, startedAt);
    }

    void at(long when, Runnable what) {
        plan.add(new Planned(when, count++, what));
    }

    /** Each node hears it some time up to {@code spread} after the moment. */
    void tell(long when, long spread, Membership news) {
        for (int i = 0; i < nodes.size(); i++) {
            int node = i;
            at(when + (spread == 0 ? 0 : random.nextLong(spread)), () -> handle(node, news));
        }
    }

    /** From now on a node gets so many times the usual part of the load. */
    void weight(int node, double weight) {
        weights[node] = weight;
    }

    private int draw() {
        double at = random.nextDouble() * Arrays.stream(weights).sum();
        int node = 0;
        while (node < weights.length - 1 && (at -= weights[node]) >= 0) {
            node++;
        }
        return node;
    }

    /** The node's process is another one, which knows nothing but this list; what was out ends with the old one. */
    void restart(int node, Settings plain, List<ServerEntry> list) {
        nodes.set(node, module(plain, node));
        handle(node, new Membership(ListKind.ALL, list));
    }

    private RatioBalancer module(Settings plain, int self) {
        // Numbers go round the zones, so that each has its part of them.
        String zone = plain.zones().isEmpty() ? plain.zone() : plain.zones().get(self % plain.zones().size());
        return new RatioBalancer(new Settings(zone, plain.zones(), plain.tier(), self, weights.length,
            plain.classes(), plain.tenants(), plain.overShareWorth(), plain.worthByWork(),
            plain.mustAskMembership(), plain.weights(), plain.loadFields(), plain.crossZonePrice(), plain.tick(),
            plain.limits(), plain.rules()), random.nextLong());
    }

    /** Requests of the class at each node, at random moments, {@code perSecond} over all nodes, until the given time. */
    void load(String requestClass, double perSecond, long patience, long until) {
        at(now + (long) (-Math.log(1 - random.nextDouble()) / perSecond * SECOND), () -> {
            if (now < until) {
                int node = draw();
                String id = "r" + count++;
                offered++;
                handle(node, new Arrival(id, requestClass, now + patience, null, 0, false));
                load(requestClass, perSecond, patience, until);
            }
        });
    }

    void run(long until) {
        while (!plan.isEmpty() && plan.peek().at <= until) {
            Planned next = plan.poll();
            now = next.at;
            next.what.run();
        }
        now = until;
    }

    /** One node is told something now. */
    void hear(int node, Event event) {
        handle(node, event);
    }

    private void handle(int node, Event event) {
        for (Action action : nodes.get(node).handle(now, event)) {
            if (action instanceof Send send) {
                send(node, send);
            } else if (action instanceof SetTimer timer) {
                at(now + timer.after(), () -> handle(node, new Timer(timer.token())));
            } else if (action instanceof Refuse || action instanceof Fail) {
                attempts.remove(action instanceof Refuse r ? r.request() : ((Fail) action).request());
            }
        }
    }

    private void send(int node, Send send) {
        sent.add(new Sent(now, node, send.server()));
        int attempt = attempts.merge(send.request(), 1, Integer::sum) - 1;
        Servers.Reply reply = servers.reply(node, send.server(), now);
        long sentAt = now;
        at(now + reply.after(), () -> {
            boolean ok = reply.outcome() == Outcome.OK;
            served += ok ? 1 : 0;
            handle(node, new AttemptEnded(send.request(), attempt, send.server(), reply.outcome(), now - sentAt, ok, null));
        });
    }
}
