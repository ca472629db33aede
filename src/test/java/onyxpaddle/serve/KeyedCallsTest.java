package onyxpaddle.serve;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.Socket;
import java.nio.charset.Charset;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.regex.Pattern;
import onyxpaddle.standin.RpcCaller;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;

/** Keyed bookings whose replies are lost, by callers and servers of both protocols. */
@Timeout(60)
class KeyedCallsTest {
    private static final int BOOKINGS = 12;
    private static final int LOST_EVERY = 3;
    /** The number of a booking that loses no reply, and is sent again until a list is in force. */
    private static final int PROBE = 100;

    /** Which protocols three servers speak. */
    private enum Servers {
        RPC("r", "r", "r"), HTTP("h", "h", "h"), BOTH("hr", "hr", "hr"), SOME_OF_EACH("h", "r", "r");

        private final List<String> protocols;

        Servers(String... protocols) {
            this.protocols = List.of(protocols);
        }

        /** Starts the servers; returns them as a list of a configuration. */
        String start(KeyedBookings application) throws Exception {
            StringBuilder list = new StringBuilder();
            for (int i = 0; i < protocols.size(); i++) {
                list.append(i == 0 ? "" : ", ").append("{id: s").append(i)
                    .append(protocols.get(i).contains("h") ? ", address: \"" + application.http() + "\"" : "")
                    .append(protocols.get(i).contains("r") ? ", rpc: \"" + application.rpc() + "\"" : "").append('}');
            }
            return "[" + list + "]";
        }
    }

    private enum Callers { RPC, HTTP }

    private static String config(String servers, boolean envelope) {
        return RpcRig.BOTH_LISTENERS + """
            classes:
              book: {effect: keyed, deadline: 5 s, memory: 10 s}
            pools:
              boxes:
                %s
                %s
            routes:
              - {name: web-book, listener: web, path: /visits, pool: boxes, class: book, procedure: book}
            procedures:
              - {name: book, listener: in, procedure: book, pool: boxes, class: book, path: /visits}
            """.formatted(servers, envelope ? "rpc: {envelope: true}" : "attempts: 3");
    }

    /** Sends a booking; returns the error code or status if it was not served, else null. */
    private String book(RpcRig rig, RpcCaller caller, Callers callers, int number) throws Exception {
        return book(rig, caller, callers, number, "key-" + number);
    }

    private String book(RpcRig rig, RpcCaller caller, Callers callers, int number, String key) throws Exception {
        if (callers == Callers.RPC) {
            RpcCaller.Reply reply = caller.callAndWait("book", RpcCaller.envelope("key", key), RpcRig.text("visit-" + number));
            return reply.ok() ? null : reply.nodeErrorCode();
        }
        String status = bookByHttp(rig, number, StandardCharsets.UTF_8, "Idempotency-Key: " + key);
        return status.equals("200") ? null : status;
    }

    /** Sends a booking by HTTP with these header lines, encoded so; returns the status. */
    private static String bookByHttp(RpcRig rig, int number, Charset encoding, String... headerLines) throws Exception {
        return answerByHttp(rig, number, encoding, headerLines).substring("HTTP/1.1 ".length(), "HTTP/1.1 200".length());
    }

    /** Returns the whole answer if the node closes the connection behind it, else its beginning. */
    private static String answerByHttp(RpcRig rig, int number, Charset encoding, String... headerLines) throws Exception {
        try (Socket socket = new Socket("127.0.0.1", rig.node.address("web").getPort())) {
            byte[] body = params("visit-" + number);
            socket.setSoTimeout((int) SidecarRig.TIMEOUT.toMillis());
            socket.getOutputStream().write(("POST /visits HTTP/1.1\r\nHost: web\r\nContent-Length: " + body.length + "\r\n"
                + String.join("\r\n", headerLines) + "\r\n\r\n").getBytes(encoding));
            socket.getOutputStream().write(body);
            byte[] answer = List.of(headerLines).contains("Connection: close") ? socket.getInputStream().readAllBytes()
                : socket.getInputStream().readNBytes("HTTP/1.1 200".length());
            return new String(answer, StandardCharsets.US_ASCII);
        }
    }

    private String bookUnchecked(RpcRig rig, RpcCaller caller, Callers callers, int number) {
        try {
            return book(rig, caller, callers, number);
        } catch (Exception e) {
            throw new AssertionError(e);
        }
    }

    /** Sends all bookings, one after another; returns those that were not served, with their errors. */
    private Map<Integer, String> bookAll(RpcRig rig, Callers callers) throws Exception {
        return bookAll(rig, callers, "key-");
    }

    private Map<Integer, String> bookAll(RpcRig rig, Callers callers, String keyPrefix) throws Exception {
        Map<Integer, String> unserved = new TreeMap<>();
        try (RpcCaller caller = rig.caller()) {
            for (int i = 1; i <= BOOKINGS; i++) {
                String error = book(rig, caller, callers, i, keyPrefix + i);
                if (error != null) {
                    unserved.put(i, error);
                }
            }
        }
        return unserved;
    }

    private static void assertEachRanOnce(KeyedBookings application) {
        Map<String, Integer> once = new TreeMap<>();
        for (int i = 1; i <= BOOKINGS; i++) {
            once.put("visit-" + i, 1);
        }
        assertEquals(once, application.runs());
    }

    /** Guards against a second run of a call whose key its servers were not told: it is answered as failed. */
    @ParameterizedTest
    @CsvSource({"RPC, RPC", "RPC, BOTH", "RPC, SOME_OF_EACH", "HTTP, RPC", "HTTP, SOME_OF_EACH"})
    void keyedCallDoesNotRunTwiceWhereServersAreNotToldItsKey(Callers callers, Servers servers) throws Exception {
        try (KeyedBookings application = new KeyedBookings(LOST_EVERY);
                RpcRig rig = new RpcRig(config("servers: " + servers.start(application), false))) {
            Map<Integer, String> unserved = bookAll(rig, callers);
            assertEachRanOnce(application);
            Map<Integer, String> lost = new TreeMap<>();
            for (int i = LOST_EVERY; i <= BOOKINGS; i += LOST_EVERY) {
                lost.put(i, callers == Callers.RPC ? "failed" : "502");
            }
            assertEquals(lost, unserved);
        }
    }

    /** Guards against the loss of repeats that do no harm, as each server that may get the call is told its key. */
    @ParameterizedTest
    @CsvSource({"RPC, RPC, true", "RPC, BOTH, true", "RPC, SOME_OF_EACH, true", "RPC, HTTP, false", "HTTP, RPC, true",
        "HTTP, SOME_OF_EACH, true", "HTTP, BOTH, false", "HTTP, HTTP, false"})
    void keyedCallIsRepeatedWhereServersAreToldItsKey(Callers callers, Servers servers, boolean envelope) throws Exception {
        try (KeyedBookings application = new KeyedBookings(LOST_EVERY);
                RpcRig rig = new RpcRig(config("servers: " + servers.start(application), envelope))) {
            assertEquals(Map.of(), bookAll(rig, callers));
            assertEachRanOnce(application);
            assertEquals(BOOKINGS + BOOKINGS / LOST_EVERY, application.toldKeys().size());
        }
    }

    /** Guards against a key that the node takes from a request, but not on to the server, as the client names it in Connection. */
    @Test
    void keyThatConnectionNamesIsToldToServers() throws Exception {
        try (KeyedBookings application = new KeyedBookings(LOST_EVERY);
                RpcRig rig = new RpcRig(config("servers: " + Servers.HTTP.start(application), false))) {
            for (int i = 1; i <= BOOKINGS; i++) {
                assertEquals("200", bookByHttp(rig, i, StandardCharsets.UTF_8, "Idempotency-Key: key-" + i,
                    "Connection: keep-alive, Idempotency-Key"));
            }
            assertEachRanOnce(application);
        }
    }

    /** Guards against a key that servers of the two protocols are told in two forms, so that a repeat at the other kind is not recognized. */
    @ParameterizedTest
    @CsvSource({"RPC, cl\u00e9-", "HTTP, cl\u00e9-", "RPC, 100%25 \u0416-", "HTTP, 100%25 \u0416-"})
    void keyIsToldInOneFormToServersOfBothProtocols(Callers callers, String keyPrefix) throws Exception {
        try (KeyedBookings application = new KeyedBookings(LOST_EVERY);
                RpcRig rig = new RpcRig(config("servers: " + Servers.SOME_OF_EACH.start(application), true))) {
            assertEquals(Map.of(), bookAll(rig, callers, keyPrefix));
            assertEachRanOnce(application);
            for (String key : application.toldKeys()) {
                assertTrue(key.matches(Pattern.quote(keyPrefix) + "[0-9]+"), key);
            }
        }
    }

    /** Guards against a second run of a call whose key the other protocol can't carry: blanks at its edge, other letters, too long. */
    @ParameterizedTest
    @CsvSource({"RPC, HTTP, false, ' key-'", "RPC, SOME_OF_EACH, true, 'a\u0001-'", "HTTP, RPC, true, LATIN_1", "HTTP, RPC, true, TOO_LONG"})
    void keyedCallDoesNotRunTwiceWhereItsKeyCannotBeTold(Callers callers, Servers servers, boolean envelope, String keyPrefix)
            throws Exception {
        try (KeyedBookings application = new KeyedBookings(LOST_EVERY);
                RpcRig rig = new RpcRig(config("servers: " + servers.start(application), envelope))) {
            int unserved = 0;
            if (keyPrefix.equals("LATIN_1")) {
                for (int i = 1; i <= BOOKINGS; i++) {
                    unserved += bookByHttp(rig, i, StandardCharsets.ISO_8859_1, "Idempotency-Key: cl\u00e9-" + i).equals("200") ? 0 : 1;
                }
            } else {
                unserved = bookAll(rig, callers, keyPrefix.equals("TOO_LONG") ? "k".repeat(256) : keyPrefix).size();
            }
            assertEachRanOnce(application);
            assertEquals(BOOKINGS / LOST_EVERY, unserved);
            if (servers != Servers.SOME_OF_EACH) {
                assertEquals(List.of(), application.toldKeys());
            }
        }
    }

    /** Guards against an answer that says "never run" of a booking that ran, once the repeats are used up that the node allows itself. */
    @ParameterizedTest
    @CsvSource({"RPC, RPC, true", "RPC, HTTP, false", "HTTP, HTTP, false", "HTTP, RPC, true"})
    void answerToACallThatRanDoesNotSayThatItNeverRan(Callers callers, Servers servers, boolean envelope) throws Exception {
        try (KeyedBookings application = new KeyedBookings(LOST_EVERY);
                RpcRig rig = new RpcRig(config("servers: " + servers.start(application), envelope)); RpcCaller caller = rig.caller()) {
            int unserved = 0;
            for (int i = 1; i <= 3 * BOOKINGS; i++) {
                String answer = callers == Callers.RPC
                    ? caller.callAndWait("book", RpcCaller.envelope("key", "key-" + i), RpcRig.text("visit-" + i)).error().toJson()
                    : answerByHttp(rig, i, StandardCharsets.UTF_8, "Idempotency-Key: key-" + i, "Connection: close");
                if (!answer.startsWith("HTTP/1.1 200") && !answer.startsWith("null")) {
                    unserved++;
                    assertEquals(1, application.runs().get("visit-" + i));
                    assertTrue(answer.startsWith("HTTP/1.1 503") || answer.contains("\"code\":\"failed\""), answer);
                    assertTrue(answer.contains("one may have acted on the") && answer.contains("trying again with the same")
                        && !answer.contains("never run"), answer);
                }
            }
            assertTrue(unserved > 0, "the repeats that the node allows itself were not used up");
        }
    }

    /** Replaces the list file, and returns once a server that is told no keys has run a booking. */
    private void replaceList(Path file, Servers servers, KeyedBookings application, Runnable probe) throws Exception {
        Path next = Files.writeString(file.resolveSibling("next.yaml"), "servers: " + servers.start(application) + "\n");
        Files.move(next, file, StandardCopyOption.ATOMIC_MOVE);
        RpcRig.await(() -> {
            int toldBefore = application.toldKeys().size();
            probe.run();
            return application.toldKeys().size() == toldBefore;
        });
    }

    /** Guards against a second run by servers that a list file has brought, and that are not told keys. */
    @ParameterizedTest
    @EnumSource(Callers.class)
    void keyedCallDoesNotRunTwiceOnceAListFileBringsServersThatAreNotToldKeys(Callers callers, @TempDir Path folder) throws Exception {
        Path file = folder.resolve("servers.yaml");
        try (KeyedBookings application = new KeyedBookings(LOST_EVERY)) {
            Files.writeString(file, "servers: " + Servers.HTTP.start(application) + "\n");
            try (RpcRig rig = new RpcRig(config("file: \"" + file + "\"", false)); RpcCaller caller = rig.caller()) {
                RpcRig.await(() -> book(rig, caller, callers, PROBE) == null);
                replaceList(file, Servers.RPC, application, () -> assertNull(bookUnchecked(rig, caller, callers, PROBE)));
                Map<Integer, String> unserved = bookAll(rig, callers);
                application.runs().forEach((booking, runs) -> assertTrue(runs == 1 || booking.endsWith("-" + PROBE), booking + ": " + runs));
                assertEquals(BOOKINGS / LOST_EVERY, unserved.size());
            }
        }
    }

    private static byte[] params(String booking) throws Exception {
        try (MessageBufferPacker params = MessagePack.newDefaultBufferPacker()) {
            params.packArrayHeader(1).packString(booking);
            return params.toByteArray();
        }
    }

    /** Guards against a call without its key, as the list changes while a request arrives: it is refused, and has not run. */
    @Test
    void keyedRequestThatWasRoutedBeforeTheListChangedIsNotSentWithoutItsKey(@TempDir Path folder) throws Exception {
        Path file = folder.resolve("servers.yaml");
        try (KeyedBookings application = new KeyedBookings(LOST_EVERY)) {
            Files.writeString(file, "servers: " + Servers.HTTP.start(application) + "\n");
            try (RpcRig rig = new RpcRig(config("file: \"" + file + "\"", false)); RpcCaller caller = rig.caller();
                    Socket late = new Socket("127.0.0.1", rig.node.address("web").getPort())) {
                RpcRig.await(() -> book(rig, caller, Callers.RPC, PROBE) == null);
                byte[] params = params("late-1");
                late.setSoTimeout((int) SidecarRig.TIMEOUT.toMillis());
                late.getOutputStream().write(("POST /visits HTTP/1.1\r\nHost: web\r\nIdempotency-Key: late\r\nContent-Length: "
                    + params.length + "\r\n\r\n").getBytes(StandardCharsets.US_ASCII));
                replaceList(file, Servers.RPC, application, () -> assertNull(bookUnchecked(rig, caller, Callers.RPC, PROBE)));
                late.getOutputStream().write(params);
                assertEquals("HTTP/1.1 503", new String(late.getInputStream().readNBytes(12), StandardCharsets.US_ASCII));
                assertNull(application.runs().get("late-1"));
            }
        }
    }
}
