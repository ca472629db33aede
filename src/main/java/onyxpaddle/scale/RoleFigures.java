package onyxpaddle.scale;

import java.util.List;
import java.util.Map;
import java.util.function.ToLongFunction;
import java.util.stream.Collectors;

/**
 * What the nodes of one role cost the list service, and so what they need themselves, in one event.
 *
 * @param nodes that were counted
 * @param seconds of the event
 * @param worst8s the most that one of them read in 8 s: the sum over its watches of what each read in its own worst 8 s
 */
record RoleFigures(FleetLayout.Role role, int nodes, double seconds, double calls, double wholes, double differences, double turnedAway,
        double bytesIn, double bytesOut, double worst8s) {
    static RoleFigures of(FleetLayout.Role role, FleetLayout layout, List<ListReply.Door> all, double seconds) {
        List<ListReply.Door> doors = all.stream().filter(door -> door.node() < layout.nodes() && layout.role(door.node()) == role).toList();
        int nodes = (int) layout.all().stream().filter(node -> layout.role(node) == role).count();
        Map<Integer, Long> worst = doors.stream().collect(Collectors.groupingBy(ListReply.Door::node,
            Collectors.summingLong(ListReply.Door::worst8s)));
        return new RoleFigures(role, nodes, seconds, sum(doors, ListReply.Door::calls), sum(doors, ListReply.Door::wholes),
            sum(doors, ListReply.Door::differences), sum(doors, ListReply.Door::turnedAway), sum(doors, ListReply.Door::bytesIn),
            sum(doors, ListReply.Door::bytesOut), worst.values().stream().mapToLong(l -> l).max().orElse(0));
    }

    private static double sum(List<ListReply.Door> doors, ToLongFunction<ListReply.Door> of) {
        return doors.stream().mapToLong(of).sum();
    }

    void report(ScaleResult result, String event) {
        String name = role.word();
        if (nodes == 0) {
            return;
        }
        result.figure(name, event, "calls", "calls/s", calls / nodes / seconds);
        result.figure(name, event, "wholes", "lists", wholes / nodes);
        result.figure(name, event, "differences", "lists", differences / nodes);
        result.figure(name, event, "turnedAway", "calls", turnedAway / nodes);
        // What the list service reads a node has written, and the other way round.
        result.figure(name, event, "bytesIn", "B/s", bytesOut / nodes / seconds);
        result.figure(name, event, "bytesOut", "B/s", bytesIn / nodes / seconds);
        result.figure(name, event, "worst8s", "B", worst8s);
    }
}
