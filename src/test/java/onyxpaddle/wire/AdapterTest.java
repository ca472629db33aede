package onyxpaddle.wire;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

class AdapterTest {
    private static final String SETTINGS = "areas=north,south az=north classes.count=1 classes.0.name=get "
        + "classes.0.effect=read_like classes.0.aimS=0.3 classes.0.deadlineS=1 quantumS=0.001 layer=0 siblings=2 me=1 "
        + "limits.maxAttempts=2 limits.cancel=true somethingNew=7 customers= rules.coldS=5 rules.startCapacity=0.5";

    private static String answer(String... lines) throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        String input = String.join("\n", lines) + "\n";
        new Adapter(new ByteArrayInputStream(input.getBytes(StandardCharsets.UTF_8)), out).run();
        return out.toString(StandardCharsets.UTF_8);
    }

    private static String[] start(String... more) {
        String[] first = {"BATCH 5 1", "BEGIN 4 18446744073709551615 " + SETTINGS, "POOL 2 2",
            "M srv-x north k 1 U 1 -", "M srv-y south k 2 L 1 0", "ROSTER_CHANGE 4 remembered 9 2", "COMMIT"};
        String[] all = java.util.Arrays.copyOf(first, first.length + more.length);
        System.arraycopy(more, 0, all, first.length, more.length);
        return all;
    }

    @Test
    void emptyBatchIsAnsweredWithItsNumberOnly() throws IOException {
        assertEquals("YIELD 17\n", answer("BATCH 0.5 17", "COMMIT"));
    }

    @Test
    void requestIsSentToTheReadyServerAndRefusedWhenItTimesOutAtTheDeadline() throws IOException {
        String reply = answer(start("BATCH 5.1 2", "INGRESS 4 ab12 0 - - get 6.1 -", "COMMIT",
            "BATCH 6.1 3", "ENDED 4 ab12 0 srv-x TimedOut 1 0 -", "COMMIT"));
        assertTrue(reply.contains("SEND 4 ab12 "), reply);
        assertTrue(reply.contains(" srv-x\n"), reply);
        assertTrue(reply.contains("OVERLOAD_REPLY 4 ab12 0.000000\n"), reply);
        assertTrue(reply.endsWith("YIELD 3\n"), reply);
    }

    @Test
    void listNumberRefersToTheListDefinedLastBeforeItsUse() throws IOException {
        String reply = answer("BATCH 5 1", "BEGIN 1 3 " + SETTINGS, "BEGIN 2 3 " + SETTINGS, "POOL 0 1",
            "M first north k 1 U 1 -", "ROSTER_CHANGE 1 remembered 1 0", "POOL 0 1", "M second north k 1 U 1 -",
            "ROSTER_CHANGE 2 remembered 1 0", "INGRESS 1 aa 0 - - get 6 0", "INGRESS 2 bb 0 - - get 6 0", "COMMIT");
        assertTrue(reply.matches("(?s).*SEND 1 aa \\S+ first\n.*SEND 2 bb \\S+ second\n.*"), reply);
    }

    @Test
    void retiredInstanceReturnsNoActions() throws IOException {
        String reply = answer(start("BATCH 5.1 2", "RETIRE 4", "WAKE 4 due", "COMMIT"));
        assertTrue(reply.endsWith("YIELD 1\nYIELD 2\n"), reply);
    }

    @Test
    void sameEventsGiveIdenticalOutput() throws IOException {
        String[] lines = new String[2 + 400];
        lines[0] = "BATCH 5.1 2";
        for (int i = 1; i <= 400; i++) {
            lines[i] = "INGRESS 4 " + Integer.toHexString(4096 + i) + " 1 0.01 key get 6.1 -";
        }
        lines[401] = "COMMIT";
        assertEquals(answer(start(lines)), answer(start(lines)));
    }

    @Test
    void invalidSettingsAreReportedAsFaultOfTheInstance() throws IOException {
        String reply = answer("BATCH 1 1", "BEGIN 6 1 " + SETTINGS.replace("siblings=2", "siblings=0"), "COMMIT");
        assertTrue(reply.matches("GIVE_IN 6 .*siblings\nYIELD 1\n"), reply);
    }

    @Test
    void malformedLineIsReportedWithItsNumber() {
        MalformedLineException e = assertThrows(MalformedLineException.class,
            () -> answer("BATCH 1 1", "INGRESS 4 ab"));
        assertTrue(e.getMessage().startsWith("line 2: "), e.getMessage());
        assertThrows(MalformedLineException.class, () -> answer("BATCH x 1", "COMMIT"));
        assertThrows(MalformedLineException.class, () -> answer("BATCH 1 1", "NONSENSE 4", "COMMIT"));
        assertThrows(MalformedLineException.class, () -> answer("BATCH 1 1"));
        assertThrows(MalformedLineException.class, () -> answer("BATCH 1 1", "BEGIN 1 1 quantumS=fast", "COMMIT"));
    }
}
