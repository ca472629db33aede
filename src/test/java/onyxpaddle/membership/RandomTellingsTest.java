package onyxpaddle.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import onyxpaddle.BalancerApi.ServerEntry;
import onyxpaddle.BalancerApi.ServerState;
import onyxpaddle.membership.ListUpdate.InvalidEntry;
import onyxpaddle.node.ServerList;
import onyxpaddle.node.ServerList.Host;
import org.junit.jupiter.api.Test;

/**
 * Random answers of discovery: whole lists and changes, of rising, equal, falling and restarted versions, with entries that cannot be read,
 * some of them received only after answers to later calls. Whichever way they are read, by the order of the calls or by their versions, no
 * server is in use that this reading forbids.
 */
class RandomTellingsTest {
    private static final int SEQUENCES = 2_000;
    private static final int TELLINGS = 500;
    private static final int SERVERS = 5;
    /** Answers that are waited for beside later ones. */
    private static final int MAX_LATE = 2;
    private static final long MS = 1_000_000L;
    private static final long DELIVERY_LIMIT = 6_000 * MS;

    /** What one reading of the answers says: the servers that are ready, with their entries. */
    private static final class Reading {
        private final Map<String, Host> ready = new HashMap<>();

        void apply(ListUpdate update) {
            if (update.whole()) {
                ready.clear();
            }
            Set<String> seen = new HashSet<>();
            for (Host host : update.hosts()) {
                String server = host.entry().server();
                boolean repeated = !seen.add(server);
                if (host.entry().state() == ServerState.READY && (!repeated || host.equals(ready.get(server)))) {
                    ready.put(server, host);
                } else {
                    ready.remove(server);
                }
            }
            update.invalid().forEach(entry -> ready.remove(entry.server()));
        }
    }

    /** An answer of discovery; {@code call}: the number of its call. */
    private record Answer(long call, ListUpdate update) {
    }

    /** All readings of the answers so far. */
    private static final class Readings {
        private final TreeMap<Long, ListUpdate> received = new TreeMap<>();
        private Reading byCall = new Reading();
        private final Reading byVersion = new Reading();
        private long newest;
        private long olderSince = Long.MAX_VALUE;
        private boolean replaced;

        Readings(ServerList known) {
            ListUpdate start = new ListUpdate(known.seq(), true, known.hosts(), List.of());
            received.put(0L, start);
            byCall.apply(start);
            byVersion.apply(start);
            newest = known.seq();
        }

        boolean isOvertaken(Answer answer) {
            return answer.call() < received.lastKey();
        }

        void apply(Answer answer, long now) {
            boolean overtaken = isOvertaken(answer);
            received.put(answer.call(), answer.update());
            if (overtaken) {
                byCall = new Reading();
                received.values().forEach(byCall::apply);
            } else {
                byCall.apply(answer.update());
            }
            applyByVersion(answer.update(), overtaken, now);
        }

        private void applyByVersion(ListUpdate update, boolean overtaken, long now) {
            boolean older = update.version() < newest && !(replaced && update.whole());
            if (update.whole() && older && !overtaken && olderSince == Long.MAX_VALUE) {
                olderSince = now;
            }
            // A version that is the only one for as long as a change may take is the newest one, of restarted numbers.
            boolean restarted = update.whole() && older && !overtaken && now - olderSince >= DELIVERY_LIMIT;
            if (older && !restarted) {
                return;
            }
            byVersion.apply(update);
            newest = update.version();
            if (update.whole()) {
                replaced = false;
                olderSince = overtaken ? olderSince : Long.MAX_VALUE;
            }
        }

        boolean permit(Host inUse) {
            String server = inUse.entry().server();
            return agrees(inUse, byCall.ready.get(server)) && agrees(inUse, byVersion.ready.get(server));
        }

        private static boolean agrees(Host inUse, Host told) {
            return told != null && told.address().equals(inUse.address()) && told.entry().startedAt() == inUse.entry().startedAt();
        }
    }

    /** Draws answers near what a node holds. */
    private static final class Tellings {
        private final SplittableRandom random;
        private long told = 100;

        Tellings(long seed) {
            random = new SplittableRandom(seed);
        }

        ListUpdate next(long held) {
            boolean whole = random.nextInt(3) > 0;
            long version = switch (random.nextInt(8)) {
                case 0 -> held;
                case 1 -> Math.max(0, held - random.nextInt(5));
                case 2 -> told = random.nextInt(30);
                case 3 -> told;
                case 4 -> told = Math.max(0, told - 1);
                default -> told = Math.max(told, held) + random.nextInt(3);
            };
            List<Host> hosts = new ArrayList<>();
            List<InvalidEntry> invalid = new ArrayList<>();
            int entries = random.nextInt(6) == 0 ? 0 : random.nextInt(SERVERS + 2);
            for (int i = 0; i < entries; i++) {
                String server = "s" + random.nextInt(SERVERS);
                if (random.nextInt(12) == 0) {
                    invalid.add(new InvalidEntry(server, "drawn"));
                } else {
                    hosts.add(host(server, random));
                }
            }
            return new ListUpdate(version, whole, hosts, invalid);
        }

        private static Host host(String server, SplittableRandom random) {
            ServerState state = random.nextInt(5) > 1 ? ServerState.READY : random.nextBoolean() ? ServerState.DRAINING : ServerState.GONE;
            int port = random.nextInt(10) == 0 ? 81 : 80;
            long startedAt = random.nextInt(10) == 0 ? 7 : 0;
            return new Host(new ServerEntry(server, "z", 0, state, 1, startedAt), new InetSocketAddress("127.0.0.1", port));
        }
    }

    /** Whether a node puts in force what an answer leaves in the table. */
    private interface Decision {
        boolean takesEffect(ListUpdate update, boolean current);
    }

    private static List<Host> inUse(ServerTable table) {
        return table.inForce().hosts().stream().filter(h -> h.entry().state() == ServerState.READY).toList();
    }

    /** The number of the first answer after which a forbidden server is in use; -1 if there is none. */
    private static int firstForbidden(long seed, Decision decision) {
        Tellings tellings = new Tellings(seed);
        SplittableRandom random = new SplittableRandom(~seed);
        List<Host> all = new ArrayList<>();
        for (int i = 0; i < SERVERS; i++) {
            all.add(new Host(new ServerEntry("s" + i, "z", 0, ServerState.READY, 1, 0), new InetSocketAddress("127.0.0.1", 80)));
        }
        ServerList known = new ServerList(100, true, all);
        ServerTable table = new ServerTable(known);
        Readings readings = new Readings(known);
        List<Host> inUse = inUse(table);
        ArrayDeque<Answer> late = new ArrayDeque<>();
        long now = 0;
        for (int number = 0; number < TELLINGS; number++) {
            now += random.nextInt(random.nextInt(20) == 0 ? 7_000 : 300) * MS;
            if (random.nextInt(100) == 0) {
                table.discoveryReplaced();
                late.clear();
                readings.replaced = true;
                readings.olderSince = Long.MAX_VALUE;
            }
            Answer answer = new Answer(number + 1, tellings.next(table.version()));
            if (late.size() < MAX_LATE && random.nextInt(6) == 0) {
                late.add(answer);
                continue;
            }
            if (!late.isEmpty() && random.nextInt(3) == 0) {
                answer = late.poll();
            }
            ListUpdate update = answer.update();
            boolean overtaken = readings.isOvertaken(answer);
            readings.apply(answer, now);
            boolean current = (overtaken ? table.applyOvertaken(update) : table.apply(update, now)).current();
            if (current) {
                late.clear();
            }
            if (decision.takesEffect(update, current)) {
                inUse = inUse(table);
            }
            if (!inUse.stream().allMatch(readings::permit)) {
                return number;
            }
        }
        return -1;
    }

    @Test
    void noServerIsInUseThatAReadingOfTheAnswersForbids() {
        for (long seed = 1; seed <= SEQUENCES; seed++) {
            int found = firstForbidden(seed, (update, current) -> true);
            assertEquals(-1, found, "seed " + seed + ", answer " + found);
        }
        System.out.println("random tellings: seeds 1 to " + SEQUENCES + ", " + TELLINGS + " each");
    }

    @Test
    void serversAreInUseInAGoodPartOfTheAnswers() {
        Tellings tellings = new Tellings(1);
        ServerTable table = new ServerTable(new ServerList(100, true, List.of()));
        int used = 0;
        for (int number = 0; number < TELLINGS; number++) {
            table.apply(tellings.next(table.version()), number * 100 * MS);
            used += inUse(table).isEmpty() ? 0 : 1;
        }
        assertTrue(used > TELLINGS / 10, used + " of " + TELLINGS);
    }

    /** A node that puts nothing in force of an answer that is not current is found within a thousand answers, from any seed on. */
    @Test
    void rejectionOfAnswersThatAreNotCurrentIsFound() {
        for (long seed = 1; seed <= 20; seed++) {
            assertTrue(foundWithinAThousand(seed, (update, current) -> current), "seed " + seed);
        }
    }

    /** The same for a node that rejects whole lists without servers alone. */
    @Test
    void rejectionOfEmptyListsIsFound() {
        for (long seed = 1; seed <= 20; seed++) {
            assertTrue(foundWithinAThousand(seed, (update, current) -> !update.whole() || !update.hosts().isEmpty()), "seed " + seed);
        }
    }

    private static boolean foundWithinAThousand(long seed, Decision decision) {
        return firstForbidden(seed, decision) >= 0 || firstForbidden(-seed, decision) >= 0;
    }
}
