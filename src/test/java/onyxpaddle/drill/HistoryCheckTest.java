package onyxpaddle.drill;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Each check reports its breach in an otherwise valid history, and nothing in the valid one. */
class HistoryCheckTest {
    private static final String BEGIN = "0 drill name=d latest=0 drain-grace=2000 cold-multiple=3 cold-window=2000";
    private static final String SENT = "100 sent id=a class=book effect=unsafe node=n/0 deadline=1000";
    private static final String RECEIVED = "110 came id=a box=n/s0 node=n/0";
    private static final String EXECUTED = "111 ran id=a box=n/s0";
    private static final String ANSWERED = "130 answered id=a status=200 by=n/s0";
    private static final String END = "90000 end";

    private static List<Event> history(String... lines) {
        List<Event> events = new ArrayList<>();
        for (String line : lines) {
            String[] words = line.split(" ");
            Map<String, String> more = new HashMap<>();
            for (int i = 2; i < words.length; i++) {
                more.put(words[i].substring(0, words[i].indexOf('=')), words[i].substring(words[i].indexOf('=') + 1));
            }
            events.add(new Event(events.size() + 1, Long.parseLong(words[0]),
                Event.Type.valueOf(words[1].toUpperCase(java.util.Locale.ROOT).replace('-', '_')), more));
        }
        return events;
    }

    /** The rules that the history breaks, in order. */
    private static List<String> brokenRules(String... lines) {
        return HistoryCheck.check(history(lines)).breaches().stream().map(HistoryCheck.Breach::rule).toList();
    }

    @Test
    void aValidHistoryHasNoBreach() {
        HistoryCheck.Verdict verdict = HistoryCheck.check(history(BEGIN, SENT, RECEIVED, EXECUTED, ANSWERED, END));
        assertEquals(List.of(), verdict.breaches());
        assertEquals(1, verdict.answered());
        assertEquals(1, verdict.runs());
    }

    @Test
    void requestsWithoutAnAnswer() {
        assertEquals(List.of("1 lost"), brokenRules(BEGIN, SENT, RECEIVED, EXECUTED, END));
        assertEquals(List.of("1 lost"), brokenRules(BEGIN, SENT, RECEIVED, EXECUTED, "130 broken id=a", END));
        assertEquals(List.of("1 lost"), brokenRules(BEGIN, SENT, RECEIVED, EXECUTED, "30000 unanswered id=a", END));
        // Neither the kill of another node nor an earlier kill of the same node excuses a lost request.
        assertEquals(List.of("1 lost"), brokenRules(BEGIN, SENT, RECEIVED, EXECUTED, "120 node node=n/1 state=killed",
            "130 broken id=a", END));
        assertEquals(List.of("1 lost"), brokenRules(BEGIN, "10 node node=n/0 state=killed",
            "5000 sent id=a class=book effect=unsafe node=n/0 deadline=1000",
            "5130 broken id=a", END));
        HistoryCheck.Verdict excused = HistoryCheck.check(history(BEGIN, SENT, RECEIVED, EXECUTED, "120 node node=n/0 state=killed",
            "130 broken id=a", END));
        assertEquals(List.of(), excused.breaches());
        assertEquals(1, excused.excused());
        // A suspended node may answer too late, but must not close the connection of an accepted request.
        assertEquals(List.of(), brokenRules(BEGIN, SENT, RECEIVED, EXECUTED, "120 node node=n/0 state=stopped", "30000 unanswered id=a",
            END));
        assertEquals(List.of("1 lost"), brokenRules(BEGIN, SENT, RECEIVED, EXECUTED, "120 node node=n/0 state=stopped",
            "9000 broken id=a", END));
        // A refused connection has accepted no request.
        assertEquals(List.of(), brokenRules(BEGIN, "100 turned_away id=a node=n/0", END));
    }

    @Test
    void answersWithoutExecutionSecondAnswersAndLateArrivals() {
        assertEquals(List.of("1 lost"), brokenRules(BEGIN, SENT, ANSWERED, END));
        assertEquals(List.of("1 lost"), brokenRules(BEGIN, SENT, RECEIVED, EXECUTED, ANSWERED, "140 answered id=a status=502", END));
        assertEquals(List.of("1 lost"), brokenRules(BEGIN, SENT, "130 answered id=a status=502", "1131 came id=a box=n/s0 node=n/0", END));
        assertEquals(List.of(), brokenRules(BEGIN, SENT, "130 answered id=a status=502", "1130 came id=a box=n/s0 node=n/0", END));
    }

    @Test
    void unsafeRequestsExecutedTwiceOrRefusedAfterExecution() {
        assertEquals(List.of("2 twice"), brokenRules(BEGIN, SENT, RECEIVED, EXECUTED, "112 came id=a box=n/s1 node=n/0",
            "113 ran id=a box=n/s1", ANSWERED, END));
        assertEquals(List.of("2 twice"), brokenRules(BEGIN, SENT, RECEIVED, EXECUTED, "130 answered id=a status=503", END));
        assertEquals(List.of(), brokenRules(BEGIN, SENT.replace("unsafe", "safe"), RECEIVED, EXECUTED, EXECUTED, ANSWERED, END));
        assertEquals(List.of(), brokenRules(BEGIN, SENT, RECEIVED, "130 answered id=a status=503", END));
    }

    @Test
    void requestsToDrainingBoxes() {
        String told = "1000 told node=n/0 box=n/s0 state=draining";
        assertEquals(List.of("3 drain"), brokenRules(BEGIN, told, "4001 came id=x box=n/s0 node=n/0", END));
        assertEquals(List.of(), brokenRules(BEGIN, told, "4000 came id=x box=n/s0 node=n/0", END));
        assertEquals(List.of(), brokenRules(BEGIN, told, "4001 came id=x box=n/s0 node=n/1", END), "another node was not told");
        assertEquals(List.of(), brokenRules(BEGIN, told, "2000 told node=n/0 box=n/s0 state=ready", "4001 came id=x box=n/s0 node=n/0",
            END));
        // If several updates follow each other, the first one starts the grace.
        assertEquals(List.of("3 drain"), brokenRules(BEGIN, told, "2500 told node=n/0 box=n/s0 state=gone",
            "4001 came id=x box=n/s0 node=n/0", END));
        String[] stopped = {BEGIN, "900 node node=n/0 state=stopped", told, "9000 node node=n/0 state=continued",
            "12000 came id=x box=n/s0 node=n/0", END};
        assertEquals(List.of(), brokenRules(stopped), "a suspended node cannot read the list before it continues");
        stopped[4] = "12001 came id=x box=n/s0 node=n/0";
        assertEquals(List.of("3 drain"), brokenRules(stopped));
    }

    @Test
    void coldBudgetCountsRequestsOfAllNodes() {
        // 10 requests/s when warm, a fifth of that at the start: three times that over 2 s gives 12, plus a tolerance of 5 and a tenth.
        List<String> lines = new ArrayList<>(List.of(BEGIN, "0 box_started box=n/s0 persecond=10 cold=100000 from=0.2"));
        for (int i = 0; i < 18; i++) {
            lines.add((1000 + i) + " came id=" + i + " box=n/s0 node=n/" + i);
        }
        lines.add(END);
        assertEquals(List.of(), brokenRules(lines.toArray(String[]::new)));
        lines.add(lines.size() - 1, "1100 came id=more box=n/s0 node=n/19");
        assertEquals(List.of("4 cold"), brokenRules(lines.toArray(String[]::new)));
        lines.set(lines.size() - 2, "3000 came id=more box=n/s0 node=n/19");
        assertEquals(List.of(), brokenRules(lines.toArray(String[]::new)), "in the next window");
        lines.set(1, "0 box_started box=n/s0 persecond=10 cold=0 from=0.2");
        lines.set(lines.size() - 2, "1100 came id=more box=n/s0 node=n/19");
        assertEquals(List.of(), brokenRules(lines.toArray(String[]::new)), "it is warm");
    }

    @Test
    void anIncompleteHistoryIsABreach() {
        assertEquals(List.of("whole"), brokenRules(BEGIN, SENT, RECEIVED, EXECUTED, ANSWERED));
        assertEquals(List.of("whole"), brokenRules());
    }

    @Test
    void aHistoryFileRoundTripsAndMalformedLinesAreRejected(@TempDir Path folder) throws Exception {
        Path file = folder.resolve("history.jsonl");
        try (History history = new History(file)) {
            history.add(Event.Type.DRILL, "name", "d");
            history.add(Event.Type.SENT, "id", "a\"b", "node", "n/0");
            history.add(Event.Type.END);
            assertEquals(history.events(), History.read(file));
        }
        List<String> lines = Files.readAllLines(file);
        for (String wrong : List.of("", "{}", "{\"n\":1}", "[1]", "{\"n\":1,\"ms\":0,\"what\":\"nothing\"}",
            "{\"n\":1,\"ms\":0,\"what\":{}}", "{\"n\":\"x\",\"ms\":0,\"what\":\"end\"}")) {
            Files.write(file, List.of(lines.get(0), wrong));
            String why = assertThrows(IOException.class, () -> History.read(file)).getMessage();
            assertTrue(why.startsWith(file + ":2: is not a line of a history: ") && why.contains("; give "), why);
        }
        Files.write(file, List.of(lines.get(0), lines.get(2)));
        assertTrue(assertThrows(IOException.class, () -> History.read(file)).getMessage().contains(":2: n: is 3, so lines are missing"));
    }
}
