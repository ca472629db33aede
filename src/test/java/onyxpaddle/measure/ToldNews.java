package onyxpaddle.measure;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.stream.IntStream;
import onyxpaddle.measure.ScriptedEndpoints.Answer;
import onyxpaddle.measure.ScriptedEndpoints.Script;

/** What discovery writes at some moment to a node that holds version {@value #HELD} with all {@value #SERVERS} servers. */
enum ToldNews {
    EMPTY_LIST_NEWER(Left.NONE),
    HALF_DRAIN_THEN_EMPTY_LIST(Left.NONE),
    EMPTY_LIST_OF_THE_SAME_VERSION(Left.NONE),
    EMPTY_LIST_RENUMBERED(Left.NONE),
    EMPTY_LIST_FROM_THE_START(Left.NONE),
    EMPTY_LIST_FOR_FOUR_SECONDS(Left.ALL),
    HALF_AND_AN_UNKNOWN_HEALTH(Left.HALF),
    HALF_AND_A_MISSING_DIAL(Left.HALF),
    HALF_DRAIN_WITH_AN_ODD_ENTRY(Left.HALF),
    HALF_AND_AN_ODD_ENTRY_FROM_THE_START(Left.HALF),
    HALF_IN_FALLING_VERSIONS(Left.HALF),
    HALF_DRAIN_IN_CHANGES_BELOW_THE_VERSION(Left.HALF),
    HALF_WRITTEN_OVER_THREE_SECONDS(Left.HALF),
    ALL_GONE_BY_CHANGES(Left.NONE),
    ALL_DRAIN_BY_CHANGES(Left.NONE),
    ALL_DRAIN_IN_A_WHOLE_LIST(Left.NONE),
    HALF_IN_A_WHOLE_LIST(Left.HALF),
    HALF_RENUMBERED(Left.HALF);

    static final int SERVERS = 8;
    static final int HELD = 10;
    private static final int NEXT = HELD + 1;
    private static final int HALF = SERVERS / 2;

    /** The servers that are left for use at the end. */
    enum Left { NONE, HALF, ALL }

    /** A script that replaces the one before after a pause, and the servers that it forbids. */
    record Step(long afterMs, Script script, Set<String> forbidden) {
    }

    private final Left left;

    ToldNews(Left left) {
        this.left = left;
    }

    Left left() {
        return left;
    }

    /** Whether the news is already there when the node starts. */
    boolean fromTheStart() {
        return this == EMPTY_LIST_FROM_THE_START || this == HALF_AND_AN_ODD_ENTRY_FROM_THE_START;
    }

    static String name(int server) {
        return "s" + server;
    }

    static Script allReady(List<String> dials) {
        return current(HELD, known(dials));
    }

    static String known(List<String> dials) {
        return whole(HELD, entries(dials, 0, SERVERS, "ready"));
    }

    List<Step> steps(List<String> dials) {
        List<String> half = entries(dials, 0, HALF, "ready");
        List<String> halfDrains = entries(dials, HALF, SERVERS, "draining");
        String empty = whole(NEXT, List.of());
        return switch (this) {
            case EMPTY_LIST_NEWER, EMPTY_LIST_FROM_THE_START -> one(0, current(NEXT, empty));
            case HALF_DRAIN_THEN_EMPTY_LIST -> List.of(
                new Step(0, changed(NEXT, changes(NEXT, halfDrains), whole(NEXT, half)), forbidden(HALF)),
                new Step(500, current(NEXT + 1, whole(NEXT + 1, List.of())), forbidden(0)));
            case EMPTY_LIST_OF_THE_SAME_VERSION -> one(0, current(HELD, whole(HELD, List.of())));
            case EMPTY_LIST_RENUMBERED -> one(0, current(1, whole(1, List.of())));
            case EMPTY_LIST_FOR_FOUR_SECONDS -> List.of(new Step(0, current(NEXT, empty), forbidden(0)),
                new Step(4_000, current(NEXT + 1, whole(NEXT + 1, entries(dials, 0, SERVERS, "ready"))), Set.of()));
            case HALF_AND_AN_UNKNOWN_HEALTH, HALF_AND_AN_ODD_ENTRY_FROM_THE_START ->
                one(HALF, current(NEXT, whole(NEXT, with(half, entry(HALF, dials.get(HALF), "resting")))));
            case HALF_AND_A_MISSING_DIAL -> one(HALF, current(NEXT, whole(NEXT, with(half, withoutDial(HALF)))));
            case HALF_DRAIN_WITH_AN_ODD_ENTRY -> {
                List<String> odd = with(entries(dials, HALF + 1, SERVERS, "draining"), entry(HALF, dials.get(HALF), "resting"));
                yield one(HALF, changed(NEXT, changes(NEXT, odd), whole(NEXT, with(half, odd.toArray(String[]::new)))));
            }
            case HALF_IN_FALLING_VERSIONS -> {
                long[] version = {HELD};
                yield one(HALF, call -> new Answer(whole(Math.max(0, --version[0]), half)));
            }
            case HALF_DRAIN_IN_CHANGES_BELOW_THE_VERSION -> one(HALF, call -> new Answer(changes(HELD - 5, halfDrains)));
            case HALF_WRITTEN_OVER_THREE_SECONDS -> one(HALF, call ->
                call.after() == NEXT ? null : new Answer(whole(NEXT, half), 20, 3_000));
            case ALL_GONE_BY_CHANGES -> one(0, changed(NEXT, changes(NEXT, entries(dials, 0, SERVERS, "gone")), empty));
            case ALL_DRAIN_BY_CHANGES -> one(0, changed(NEXT, changes(NEXT, entries(dials, 0, SERVERS, "draining")),
                whole(NEXT, entries(dials, 0, SERVERS, "draining"))));
            case ALL_DRAIN_IN_A_WHOLE_LIST -> one(0, current(NEXT, whole(NEXT, entries(dials, 0, SERVERS, "draining"))));
            case HALF_IN_A_WHOLE_LIST -> one(HALF, current(NEXT, whole(NEXT, half)));
            case HALF_RENUMBERED -> one(HALF, current(1, whole(1, half)));
        };
    }

    private static List<Step> one(int firstForbidden, Script script) {
        return List.of(new Step(0, script, forbidden(firstForbidden)));
    }

    private static Set<String> forbidden(int first) {
        return Set.copyOf(IntStream.range(first, SERVERS).mapToObj(ToldNews::name).toList());
    }

    /** Answers with the whole list to all who do not have its version, and once to one who does. */
    private static Script current(int version, String whole) {
        return changed(version, whole, whole);
    }

    private static Script changed(int version, String toWatches, String whole) {
        return call -> {
            if (call.asksForTheWholeList()) {
                return new Answer(whole);
            }
            return call.after() == version && !call.unseen() ? null : new Answer(toWatches);
        };
    }

    static String whole(long version, List<String> entries) {
        return "{\"seq\":" + version + ",\"whole\":true,\"hosts\":[" + String.join(",", entries) + "]}";
    }

    static String changes(long version, List<String> entries) {
        return whole(version, entries).replace("\"whole\":true", "\"whole\":false");
    }

    private static List<String> entries(List<String> dials, int from, int to, String health) {
        return IntStream.range(from, to).mapToObj(i -> entry(i, dials.get(i), health)).toList();
    }

    static String entry(int server, String dial, String health) {
        return "{\"host\":\"%s\",\"dial\":\"%s\",\"site\":\"a\",\"class\":\"m\",\"block\":1,\"health\":\"%s\",\"share\":1.0,\"born_ms\":0}"
            .formatted(name(server), dial, health);
    }

    private static String withoutDial(int server) {
        return "{\"host\":\"%s\",\"site\":\"a\",\"class\":\"m\",\"block\":1,\"health\":\"ready\",\"share\":1.0,\"born_ms\":0}"
            .formatted(name(server));
    }

    private static List<String> with(List<String> entries, String... more) {
        List<String> all = new ArrayList<>(entries);
        all.addAll(List.of(more));
        return all;
    }
}
