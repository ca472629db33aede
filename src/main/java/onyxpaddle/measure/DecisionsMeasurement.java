package onyxpaddle.measure;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import onyxpaddle.BalancerApi.*;
import onyxpaddle.RatioBalancer;
import onyxpaddle.measure.Measure.Measurement;

/**
 * What one node's decisions cost where 60, 600 and 6,000 servers are listed: a request from its arrival to its served
 * call, with all servers warm and with a third of them cold; a change of one line of the list; and the memory that the
 * list takes. No sockets: the decision module alone, on a clock that is handed in, 64 requests out at once.
 */
final class DecisionsMeasurement implements Measurement {
    private static final int[] SIZES = {60, 600, 6_000};
    /** Nodes before them: so few that each draws from many. */
    private static final int SIBLINGS = 14;
    private static final int OUT = 64;
    private static final int REQUESTS = 20_000;
    private static final int CHANGES = 400;
    private static final int ROUNDS = 9;
    private static final int WARMING = 3;
    private static final String[] NAMES = {"a request, all warm", "a request, a third cold", "a change of the list"};
    private static final long SECOND = 1_000_000_000L;
    private static final double MOST_US = 20;
    /** Flat: what 6,000 servers may cost over what 60 do; more than twice would be growth and no cache miss. */
    private static final double MOST_GROWTH = 2;

    private record Out(String request, String server) {
    }

    /** A module, the clock and what it has out. */
    private static final class Subject {
        final int servers;
        final RatioBalancer module;
        final ArrayDeque<Out> out = new ArrayDeque<>();
        long now = 1_000 * SECOND;
        long due = Long.MAX_VALUE;
        long count;

        Subject(int servers, double coldPart) {
            this.servers = servers;
            RequestClass read = new RequestClass("read", Effect.SAFE, KeyGroup.ALL, 0, SECOND / 2, 0, 2 * SECOND, 1, 0, false);
            // Cold for so long that they stay it, and of a rule that lets as many calls through as come.
            module = new RatioBalancer(new Settings("a", List.of("a"), 1, 3, SIBLINGS, List.of(read), List.of(), 1, false, false,
                Weights.NONE, List.of(), 0, 2_000_000, new Limits(4, true, true, false, true, SECOND, SECOND / 10),
                new Rules(0.2, 10_000 * SECOND, 3, 2 * SECOND, SECOND, 10_000_000, 10 * SECOND)), 7);
            List<ServerEntry> list = new ArrayList<>();
            for (int i = 0; i < servers; i++) {
                list.add(entry(i, i < coldPart * servers ? now : 0));
            }
            module.handle(now, new Membership(ListKind.ALL, list));
        }

        private static ServerEntry entry(int number, long startedAt) {
            return new ServerEntry("s" + Integer.toHexString(number * 0x9E3779B1), "a", 0, ServerState.READY, 1, startedAt);
        }

        void requests(int many) {
            for (int i = 0; i < many; i++) {
                now += 500_000;
                if (now >= due) {
                    due = Long.MAX_VALUE;
                    tell(new Timer("due"));
                }
                tell(new Arrival("r" + count++, "read", now + 2 * SECOND, null, 0, false));
                if (out.size() > OUT) {
                    Out served = out.pollFirst();
                    tell(new AttemptEnded(served.request, 0, served.server, Outcome.OK, OUT * 500_000L, true, null));
                }
            }
        }

        private void tell(Event event) {
            for (Action action : module.handle(now, event)) {
                if (action instanceof Send send) {
                    out.addLast(new Out(send.request(), send.server()));
                } else if (action instanceof SetTimer timer) {
                    due = Math.min(due, now + timer.after());
                }
            }
        }

        /** One server goes and comes back, as many times. */
        void changes(int many) {
            for (int i = 0; i < many; i++) {
                int number = (int) (count++ % servers);
                ServerEntry entry = entry(number, 0);
                ServerState state = i % 2 == 0 ? ServerState.DRAINING : ServerState.READY;
                module.handle(now, new Membership(ListKind.CHANGES, List.of(
                    new ServerEntry(entry.server(), "a", 0, state, 1, 0))));
            }
        }
    }

    private static double micros(Runnable what, int many) {
        long start = System.nanoTime();
        what.run();
        return (System.nanoTime() - start) / 1e3 / many;
    }

    private static long used() {
        for (int i = 0; i < 3; i++) {
            System.gc();
        }
        return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
    }

    /** What a module with so many servers takes, in KiB. */
    private static double memory(int servers) {
        long before = used();
        Subject subject = new Subject(servers, 0);
        long after = used();
        subject.requests(OUT + 1);
        return (after - before) / 1024.0;
    }

    @Override
    public void run(Figures figures, double part) {
        for (int size : SIZES) {
            memory(size);
            figures.put(String.format(Locale.ROOT, "%,d servers: memory", size), memory(size), "KiB");
        }
        List<Subject> warm = new ArrayList<>();
        List<Subject> mixed = new ArrayList<>();
        List<List<List<Double>>> rounds = new ArrayList<>();
        for (int size : SIZES) {
            warm.add(new Subject(size, 0));
            mixed.add(new Subject(size, 1.0 / 3));
            rounds.add(List.of(new ArrayList<>(), new ArrayList<>(), new ArrayList<>()));
        }
        // The sizes take turns, so that none has the code still cold or the machine slow to itself.
        for (int round = -WARMING; round < ROUNDS * part; round++) {
            for (int size = 0; size < SIZES.length; size++) {
                Subject w = warm.get(size);
                Subject m = mixed.get(size);
                List<Double> took = List.of(micros(() -> w.requests(REQUESTS), REQUESTS),
                    micros(() -> m.requests(REQUESTS), REQUESTS), micros(() -> w.changes(CHANGES), CHANGES));
                for (int i = 0; i < NAMES.length && round >= 0; i++) {
                    rounds.get(size).get(i).add(took.get(i));
                }
            }
        }
        for (int i = 0; i < NAMES.length; i++) {
            for (int size = 0; size < SIZES.length; size++) {
                List<Double> took = rounds.get(size).get(i);
                figures.hold(String.format(Locale.ROOT, "%,d servers: %s", SIZES[size], NAMES[i]), Figures.median(took), "us", 0, MOST_US);
                System.out.println("    rounds " + Figures.spread(took));
            }
            if (i < 2) {
                figures.hold(NAMES[i] + ", 6,000 against 60", Figures.median(rounds.get(SIZES.length - 1).get(i))
                    / Figures.median(rounds.get(0).get(i)), "times", 0, MOST_GROWTH);
            }
        }
    }
}
