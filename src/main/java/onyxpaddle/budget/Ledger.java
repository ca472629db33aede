package onyxpaddle.budget;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The budgets of the requests at one node: what each was given, what its attempts took with them, and for which attempt an
 * application's further calls come. One for each node; it holds a bounded number of attempts, the oldest of which make
 * room. Time in nanoseconds by the node's own clock.
 */
public final class Ledger {
    /** Why a request is not taken. */
    public enum Refusal { LOOP, USED_UP }

    /**
     * Bounds of a node.
     *
     * @param edge attempts for a request that brings no budget
     * @param most attempts that a request may bring
     * @param remembered attempts whose calls are known by name, here and elsewhere
     */
    public record Bounds(int edge, int most, int remembered) {
    }

    /** A request at this node, from its arrival to its end. */
    public final class Held {
        private final Carried carried;
        private final Purse purse;
        /** The share of the attempt that it comes of, where the ledger knows that; null at the edge. */
        private final Purse.Share above;
        private final long deadline;
        private boolean ended;

        private Held(Carried carried, Purse purse, Purse.Share above, long deadline) {
            this.carried = carried;
            this.purse = purse;
            this.above = above;
            this.deadline = deadline;
        }

        public Carried carried() {
            return carried;
        }

        /** Attempts that it may still take. */
        public int left() {
            return purse.left();
        }

        /** By this node's clock; the earlier of what it was told and of what the attempt above it has. */
        public long deadline() {
            return deadline;
        }

        /** Takes the next attempt's share; null where there is none. {@code innermost}: it leads to no further one. */
        public Sent attempt(boolean innermost) {
            Purse.Share share = ended ? null : purse.take(innermost);
            if (share == null) {
                return null;
            }
            String name = instance + "-" + Long.toString(attempts++, 36);
            Sent sent = new Sent(name, share, this, carried.onward(node, name, share.size(), carried.worth()));
            if (!innermost) {
                remember(name, new Below(new Purse(share.size()), deadline));
            }
            return sent;
        }

        /** It has its answer, or nobody waits: no further attempt. Returns what it used in all, for the answer. */
        public int end() {
            if (!ended) {
                ended = true;
                loops.left(carried);
                int used = purse.close();
                if (above != null) {
                    above.used(used);
                }
            }
            return purse.used() + purse.out();
        }
    }

    /** An attempt that is out, with what goes with it. It ends once; what comes after is of no effect. */
    public final class Sent {
        private final String name;
        private final Purse.Share share;
        private final Held of;
        private final Carried onward;

        private Sent(String name, Purse.Share share, Held of, Carried onward) {
            this.name = name;
            this.share = share;
            this.of = of;
            this.onward = onward;
        }

        /** The field that goes with it. */
        public Carried onward() {
            return onward;
        }

        /** It never began: no server has seen it. */
        public void neverBegan() {
            below.remove(name);
            share.giveBack();
        }

        /** It has ended; {@code said}: what its answer says was used, below 0 where it says nothing, or none came. */
        public void ended(int said) {
            Below known = below.remove(name);
            if (known != null && known.drawn) {
                // The application's calls came by this node, which knows better than any word.
                share.used(Math.max(known.purse.close(), said));
            } else if (said >= 0) {
                share.used(said);
            } else {
                share.spent();
            }
        }

        Held of() {
            return of;
        }
    }

    /** What calls draw from that name an attempt. */
    private static final class Below {
        private final Purse purse;
        private final long deadline;
        private boolean drawn;

        private Below(Purse purse, long deadline) {
            this.purse = purse;
            this.deadline = deadline;
        }
    }

    private final String node;
    private final String instance;
    private final Bounds bounds;
    private final Loops loops;
    private final Map<String, Below> below = new LinkedHashMap<>();
    private final Map<Refusal, Long> refused = new HashMap<>();
    private long attempts;
    private long ids;
    private String why;

    /** {@code node}: its name, in paths; {@code instance}: a name that no other process has, before those of attempts. */
    public Ledger(String node, String instance, Bounds bounds, Loops loops) {
        this.node = node;
        this.instance = instance;
        this.bounds = bounds;
        this.loops = loops;
    }

    /**
     * A request arrives. Returns it with its purse, or null where it is refused: see {@link #refusal}.
     *
     * @param said what it brought, null for nothing; already capped where its sender is not trusted
     * @param worth what it is worth where it doesn't say
     * @param deadline by its class and by what its sender said of time
     * @param innermost it can only lead to innermost attempts, each of which takes 1
     */
    public Held arrived(Carried said, double worth, long deadline, boolean innermost) {
        Carried carried = said != null ? said : new Carried(instance + "." + Long.toString(ids++, 36), "", bounds.edge(),
            worth, 0, java.util.List.of());
        why = loops.entered(carried);
        if (why != null) {
            refused.merge(Refusal.LOOP, 1L, Long::sum);
            return null;
        }
        int most = Math.min(carried.attempts(), bounds.most());
        if (carried.from().isEmpty()) {
            return new Held(carried, new Purse(most), null, deadline);
        }
        Below known = below.get(carried.from());
        if (known == null && carried.from().startsWith(instance + "-")) {
            // It was made here and has ended, or is long ago: its share is settled, and can't be spent again.
            return usedUp(carried);
        }
        if (known == null) {
            // Another node made the attempt: its calls share what the first of them says, however many come.
            known = new Below(new Purse(most), Long.MAX_VALUE);
            remember(carried.from(), known);
        }
        known.drawn = true;
        Purse.Share share = known.purse.take(innermost && known.purse.left() < 2);
        if (share == null) {
            return usedUp(carried);
        }
        return new Held(carried, new Purse(Math.min(share.size(), bounds.most())), share, Math.min(deadline, known.deadline));
    }

    private Held usedUp(Carried carried) {
        loops.left(carried);
        why = "the attempts of " + carried.id() + " are used up";
        refused.merge(Refusal.USED_UP, 1L, Long::sum);
        return null;
    }

    /** Why the last request was refused, for people; null where it was not. */
    public String refusal() {
        return why;
    }

    /** How many were refused for this. */
    public long refused(Refusal reason) {
        return refused.getOrDefault(reason, 0L);
    }

    private void remember(String name, Below calls) {
        if (below.size() >= bounds.remembered()) {
            // The oldest makes room. Calls that still come of it are refused if it was made here; one made elsewhere is
            // taken for new, so this should hold all the attempts of as long as requests last.
            below.remove(below.keySet().iterator().next());
        }
        below.put(name, calls);
    }

    /** Attempts whose calls are known by name. */
    int remembered() {
        return below.size();
    }
}
