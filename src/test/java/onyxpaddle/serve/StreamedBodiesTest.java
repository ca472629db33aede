package onyxpaddle.serve;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Random;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import onyxpaddle.serve.Loopback.Client;
import onyxpaddle.serve.Loopback.FakeServer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Bodies above the buffering limit are streamed through a bounded window, and an aborted body is visible to the client. */
class StreamedBodiesTest {
    private static final int MB = 1 << 20;

    /** A server that answers each request by running a script. */
    private static final class Scripted extends FakeServer {
        interface Script {
            void run(String head, InputStream in, OutputStream out, Socket socket) throws Exception;
        }

        final Script script;

        Scripted(String name, Script script) throws IOException {
            super(name);
            this.script = script;
        }

        @Override
        void serve(Socket socket) throws Exception {
            for (String head = Loopback.head(socket.getInputStream()); head != null;
                    head = Loopback.head(socket.getInputStream())) {
                requests.add(head);
                script.run(head, socket.getInputStream(), socket.getOutputStream(), socket);
            }
        }
    }

    private static byte[] noise(int length) {
        byte[] bytes = new byte[length];
        new Random(length).nextBytes(bytes);
        return bytes;
    }

    private static byte[] ascii(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }

    private static byte[] chunks(InputStream in) throws IOException {
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        while (true) {
            String line = line(in);
            int size = Integer.parseInt(line.split(";")[0].trim(), 16);
            if (size == 0) {
                while (!line(in).isEmpty()) {
                    // trailers
                }
                return all.toByteArray();
            }
            byte[] part = in.readNBytes(size);
            if (part.length < size) {
                throw new IOException("connection closed within a chunked body");
            }
            all.write(part);
            line(in);
        }
    }

    private static String line(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        for (int next = in.read(); next != '\n'; next = in.read()) {
            if (next < 0) {
                throw new IOException("connection closed within a chunked body");
            }
            line.append((char) next);
        }
        return line.toString().trim();
    }

    @Test
    void firstBytesAreForwardedBeforeTheRestArrives() throws Exception {
        byte[] body = noise(4 * MB);
        BlockingQueue<Integer> sendRest = new LinkedBlockingQueue<>();
        try (Scripted server = new Scripted("s1", (head, in, out, socket) -> {
            out.write(ascii("HTTP/1.1 200 OK\r\nContent-Length: " + body.length + "\r\n\r\n"));
            out.write(body, 0, 100);
            sendRest.poll(Loopback.TIMEOUT_MS, TimeUnit.MILLISECONDS);
            out.write(body, 100, body.length - 100);
        }); Loopback rig = new Loopback(server); Client client = rig.client()) {
            for (int i = 0; i < 2; i++) {
                client.send(Loopback.request("r" + i, "read"));
                InputStream in = client.socket.getInputStream();
                assertTrue(Loopback.head(in).contains("content-length: " + body.length));
                assertArrayEquals(Arrays.copyOf(body, 100), in.readNBytes(100));
                sendRest.add(1);
                assertArrayEquals(Arrays.copyOfRange(body, 100, body.length), in.readNBytes(body.length - 100));
            }
        }
    }

    enum Framing {
        LENGTH, CHUNKED, CLOSE
    }

    /** Guards against an answer that is cut off at its deadline, or sent for a second time, while its server writes it. */
    @ParameterizedTest
    @CsvSource({"40000, LENGTH, read", "40000, CHUNKED, read", "40000, CLOSE, book", "180000, CHUNKED, book", "180000, CLOSE, read",
        "180000, LENGTH, book", "60, CHUNKED, read"})
    void answerThatIsBeingWrittenAtItsDeadlineIsPassedOnWhole(int length, Framing framing, String requestClass) throws Exception {
        byte[] body = noise(length);
        AtomicInteger cut = new AtomicInteger();
        try (Scripted server = new Scripted("s1", (head, in, out, socket) -> {
            try {
                writeSlowly(body, framing, out);
            } catch (IOException e) {
                cut.incrementAndGet();
                throw e;
            }
            if (framing == Framing.CLOSE) {
                socket.close();
            }
        }); Loopback rig = new Loopback(server); Client client = rig.client()) {
            InputStream in = client.awaitReady().send(Loopback.request("r1", requestClass, "X-Expires-In: 0.4", "Content-Length: 0"))
                .socket.getInputStream();
            String head = Loopback.head(in);
            assertTrue(head.startsWith("HTTP/1.1 200"), head);
            assertArrayEquals(body, framing == Framing.LENGTH ? in.readNBytes(length) : chunks(in));
            assertEquals(1, server.requests.size(), "it was sent again");
            assertEquals(0, cut.get());
        }
    }

    /** Takes over twice the time that the client of the test above says that it waits. */
    private static void writeSlowly(byte[] body, Framing framing, OutputStream out) throws Exception {
        out.write(ascii("HTTP/1.1 200 OK\r\n" + switch (framing) {
            case LENGTH -> "Content-Length: " + body.length;
            case CHUNKED -> "Transfer-Encoding: chunked";
            case CLOSE -> "Connection: close";
        } + "\r\n\r\n"));
        int parts = 10;
        for (int i = 0; i < parts; i++) {
            TimeUnit.MILLISECONDS.sleep(100);
            int from = body.length / parts * i;
            int count = i == parts - 1 ? body.length - from : body.length / parts;
            if (framing == Framing.CHUNKED) {
                out.write(ascii(Integer.toHexString(count) + "\r\n"));
            }
            out.write(body, from, count);
            if (framing == Framing.CHUNKED) {
                out.write(ascii("\r\n"));
            }
        }
        if (framing == Framing.CHUNKED) {
            out.write(ascii("0\r\n\r\n"));
        }
    }

    /** How an answer without a length breaks off: its server falls silent or resets its connection, or the node stops. */
    enum Break {
        SILENCE, RESET, STOP
    }

    /** Guards against a part of an answer without a length that the client takes for the whole, as it was not its server that ended it. */
    @ParameterizedTest
    @CsvSource({"200000, SILENCE", "30000, SILENCE", "200000, RESET", "30000, RESET", "200000, STOP", "30000, STOP"})
    void answerWithoutLengthThatItsServerDoesNotEndIsVisiblyBroken(int length, Break how) throws Exception {
        byte[] body = noise(length);
        BlockingQueue<Integer> headRead = new LinkedBlockingQueue<>();
        try (Scripted server = new Scripted("s1", (head, in, out, socket) -> {
            out.write(ascii("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"));
            writeInPieces(body, out);
            headRead.poll(Loopback.TIMEOUT_MS, TimeUnit.MILLISECONDS);
            if (how != Break.RESET) {
                in.read();
            }
            socket.setSoLinger(true, 0);
            socket.close();
        }); Loopback rig = new Loopback(server); Client client = rig.client()) {
            client.awaitReady().send(Loopback.request("r1", "book", "X-Expires-In: 0.4", "Content-Length: 0"));
            InputStream in = client.socket.getInputStream();
            String head = Loopback.head(in);
            assertTrue(head.startsWith("HTTP/1.1 200"), head);
            headRead.add(1);
            if (how == Break.STOP) {
                rig.node.stop();
            }
            assertThrows(IOException.class, () -> chunks(in), "the client cannot tell that its answer is not whole");
            assertEquals(1, server.requests.size());
        }
    }

    /** Takes longer than the quarter of its client's time after which an answer is passed on. */
    private static void writeInPieces(byte[] body, OutputStream out) throws Exception {
        int pieces = 10;
        for (int i = 0; i < pieces; i++) {
            out.write(body, body.length / pieces * i, body.length / pieces);
            TimeUnit.MILLISECONDS.sleep(25);
        }
    }

    @Test
    void chunkedAnswersAndAnswersDelimitedByClosePass() throws Exception {
        byte[] body = noise(300_000);
        try (Scripted server = new Scripted("s1", (head, in, out, socket) -> {
            if (head.contains("r0")) {
                out.write(ascii("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: X-Sum\r\n\r\n"));
                for (int at = 0; at < body.length; at += 1000) {
                    out.write(ascii("3e8;name=\"a;b\"\r\n"));
                    out.write(body, at, 1000);
                    out.write(ascii("\r\n"));
                }
                out.write(ascii("0\r\nX-Sum: 1\r\n\r\n"));
            } else {
                int length = head.contains("r1") ? body.length : 100;
                out.write(ascii("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"));
                out.write(body, 0, length);
                socket.close();
            }
        }); Loopback rig = new Loopback(server); Client client = rig.client()) {
            InputStream in = client.socket.getInputStream();
            for (int i = 0; i < 2; i++) {
                client.send(Loopback.request("r" + i, "read"));
                assertTrue(Loopback.head(in).contains("transfer-encoding: chunked"));
                assertArrayEquals(body, chunks(in));
            }
            client.send(Loopback.request("r2", "read"));
            assertTrue(Loopback.head(in).contains("content-length: 100"), "a small answer is buffered whole");
            assertArrayEquals(Arrays.copyOf(body, 100), in.readNBytes(100));
        }
    }

    @Test
    void slowReaderIsBoundedByTheWindow() throws Exception {
        byte[] part = noise(MB);
        AtomicLong written = new AtomicLong();
        try (Scripted server = new Scripted("s1", (head, in, out, socket) -> {
            out.write(ascii("HTTP/1.1 200 OK\r\nContent-Length: " + 32L * MB + "\r\n\r\n"));
            for (int i = 0; i < 32 * 16; i++) {
                out.write(part, 0, MB / 16);
                written.addAndGet(MB / 16);
            }
        }); Loopback rig = new Loopback(server); Client client = new Client(rig.node.address())) {
            client.socket.setReceiveBufferSize(64 * 1024);
            client.send(Loopback.request("r1", "read"));
            InputStream in = client.socket.getInputStream();
            Loopback.head(in);
            long before;
            do {
                before = written.get();
                // Gives the socket buffers time to fill; other clients are served meanwhile.
                try (Client other = rig.client()) {
                    for (int i = 0; i < 200; i++) {
                        other.send("GET /ready HTTP/1.1\r\n\r\n").readAnswer();
                    }
                }
            } while (written.get() > before);
            assertTrue(before < 20L * MB, before + " bytes were taken from the server for a client that reads nothing");
            byte[] got = new byte[MB / 16];
            for (int i = 0; i < 32 * 16; i++) {
                assertEquals(got.length, in.readNBytes(got, 0, got.length));
                assertEquals(part[0], got[0]);
            }
        }
    }

    @Test
    void truncatedAnswerIsVisibleToTheClientAndNotRetried() throws Exception {
        byte[] body = noise(200_000);
        try (Scripted server = new Scripted("s1", (head, in, out, socket) -> {
            out.write(ascii("HTTP/1.1 200 OK\r\n" + (head.contains("r0") ? "Content-Length: 300000" : "Transfer-Encoding: chunked")
                + "\r\n\r\n" + (head.contains("r0") ? "" : "493e0\r\n")));
            out.write(body);
            socket.close();
        }); Loopback rig = new Loopback(server)) {
            for (int i = 0; i < 2; i++) {
                try (Client client = rig.client()) {
                    client.send(Loopback.request("r" + i, "read"));
                    InputStream in = client.socket.getInputStream();
                    Loopback.head(in);
                    int got = 0;
                    boolean reset = false;
                    try {
                        got = in.readAllBytes().length;
                    } catch (SocketException e) {
                        reset = true;
                    }
                    assertTrue(reset || got < 300_000 && i == 0, "the client cannot tell that the answer is truncated");
                }
            }
            assertEquals(2, server.requests.size());
        }
    }

    @Test
    void requestBodyIsStreamedAndAnswered() throws Exception {
        byte[] body = noise(3 * MB);
        BlockingQueue<byte[]> got = new LinkedBlockingQueue<>();
        try (Scripted server = new Scripted("s1", (head, in, out, socket) -> {
            boolean chunked = head.toLowerCase(java.util.Locale.ROOT).contains("transfer-encoding: chunked");
            got.add(chunked ? chunks(in) : in.readNBytes(body.length));
            out.write(ascii(Loopback.ok("whole")));
        }); Loopback rig = new Loopback(server); Client client = rig.client()) {
            client.send(Loopback.request("r1", "book", "Content-Length: " + body.length, "Expect: 100-continue"));
            assertTrue(Loopback.head(client.socket.getInputStream()).startsWith("HTTP/1.1 100"));
            client.socket.getOutputStream().write(body);
            assertEquals("200 whole", client.readAnswer());
            assertArrayEquals(body, got.poll(Loopback.TIMEOUT_MS, TimeUnit.MILLISECONDS));
            client.send(Loopback.request("r2", "book", "Transfer-Encoding: chunked"));
            for (int at = 0; at < body.length; at += MB / 8) {
                client.send("20000\r\n");
                client.socket.getOutputStream().write(body, at, MB / 8);
                client.send("\r\n");
            }
            client.send("0\r\n\r\n");
            assertEquals("200 whole", client.readAnswer());
            assertArrayEquals(body, got.poll(Loopback.TIMEOUT_MS, TimeUnit.MILLISECONDS));
        }
    }

    @Test
    void refusalAfterAStreamedBodyIsNotRetried() throws Exception {
        byte[] body = noise(2 * MB);
        Scripted.Script full = (head, in, out, socket) -> {
            in.readNBytes(head.contains("r1") ? body.length : 3);
            out.write(ascii("HTTP/1.1 503 Full\r\nX-Never-Ran: 1\r\nContent-Length: 0\r\n\r\n"));
        };
        try (Scripted one = new Scripted("s1", full); Scripted other = new Scripted("s2", full);
                Loopback rig = new Loopback(one, other); Client client = rig.client()) {
            client.send(Loopback.request("r1", "book", "Content-Length: " + body.length));
            client.socket.getOutputStream().write(body);
            assertTrue(client.readAnswer().startsWith("503"));
            assertEquals(1, one.requests.size() + other.requests.size());
            client.send(Loopback.request("r2", "book", "Content-Length: 3")).send("abc");
            assertTrue(client.readAnswer().startsWith("503"), "the client connection stays usable");
        }
    }

    @Test
    void clientDisconnectEndsTheAttemptBeforeTheBodyIsComplete() throws Exception {
        BlockingQueue<Integer> got = new LinkedBlockingQueue<>();
        try (Scripted server = new Scripted("s1", (head, in, out, socket) -> got.add(in.readNBytes(3 * MB).length));
                Loopback rig = new Loopback(server)) {
            try (Client client = rig.client()) {
                client.send(Loopback.request("r1", "book", "Content-Length: " + 3 * MB));
                client.socket.getOutputStream().write(noise(2 * MB));
                server.nextRequest();
            }
            assertTrue(got.poll(Loopback.TIMEOUT_MS, TimeUnit.MILLISECONDS) < 3 * MB);
        }
    }

    @Test
    void chunkedBodyAboveTheLimitNeverCompletesARequest() throws Exception {
        BlockingQueue<Integer> got = new LinkedBlockingQueue<>();
        byte[] part = noise(MB);
        try (Scripted server = new Scripted("s1", (head, in, out, socket) -> {
            try {
                got.add(chunks(in).length);
            } catch (IOException e) {
                got.add(-1);
            }
        }); Loopback rig = new Loopback(server); Client client = rig.client()) {
            client.send(Loopback.request("r1", "book", "Transfer-Encoding: chunked"));
            try {
                for (int i = 0; i < 42; i++) {
                    client.send("100000\r\n");
                    client.socket.getOutputStream().write(part);
                    client.send("\r\n");
                }
                client.send("0\r\n\r\n");
            } catch (SocketException e) {
                // The node closes the connection, possibly before the client has sent all of it.
            }
            assertEquals(-1, got.poll(Loopback.TIMEOUT_MS, TimeUnit.MILLISECONDS), "the server must not get a complete body");
        }
    }

    @Test
    void statusLineWithoutAReasonIsAccepted() throws Exception {
        try (FakeServer server = new FakeServer("s1", "HTTP/1.1 200 \r\nContent-Length: 4\r\n\r\nfine",
                "HTTP/1.1 102 \r\n\r\nHTTP/1.1 200 \r\nContent-Length: 4\r\n\r\nfine"); Loopback rig = new Loopback(server);
                Client client = rig.client()) {
            assertEquals("200 fine", client.send(Loopback.request("r1", "book", "Content-Length: 0")).readAnswer());
            assertEquals("200 fine", client.send(Loopback.request("r2", "book", "Content-Length: 0")).readAnswer());
        }
    }

    @Test
    void contentLengthAboveTheLimitIsRejectedAtTheHead() throws Exception {
        try (FakeServer server = new FakeServer("s1"); Loopback rig = new Loopback(server); Client client = rig.client()) {
            assertTrue(client.send(Loopback.request("r1", "book", "Content-Length: 60000000")).readAnswer().startsWith("413"));
            assertNull(client.readAnswer());
            assertEquals(0, server.requests.size());
        }
    }

    @Test
    void answerInSmallPiecesArrivesWhole() throws Exception {
        byte[] body = noise(100_000);
        try (Scripted server = new Scripted("s1", (head, in, out, socket) -> {
            socket.setTcpNoDelay(true);
            out.write(ascii("HTTP/1.1 200 OK\r\nContent-Length: " + body.length + "\r\n\r\n"));
            for (int at = 0; at < body.length; at += 50) {
                out.write(body, at, 50);
            }
        }); Loopback rig = new Loopback(server); Client client = rig.client()) {
            for (int i = 0; i < 3; i++) {
                client.send(Loopback.request("r" + i, "read"));
                InputStream in = client.socket.getInputStream();
                Loopback.head(in);
                assertArrayEquals(body, in.readNBytes(body.length));
            }
        }
    }
}
