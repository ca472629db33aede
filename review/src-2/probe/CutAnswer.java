package probe;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/** One of five boxes falls silent in the middle of its answers, which have no length. Clients get these answers as if they were whole. */
final class CutAnswer {
    private static final int BOXES = 5;
    private static final int PIECES = 20;
    private static final int PIECE = 15_000;
    private static final int PAUSE_MS = 30;
    private static final int SILENT_FROM_MS = 2_000;
    private static final int SILENT_MS = 9_000;
    private static final int REQUESTS = 200;
    private static final int BETWEEN_MS = 15;
    private static final String CLASSES = "[{\"name\":\"view-slots\",\"effect\":\"read_like\",\"group\":\"all\",\"memorySpanS\":5.0,"
        + "\"aimS\":0.6,\"deadlineS\":1.5,\"worth\":3.0,\"lateWorth\":0.5}]";

    public static void main(String[] args) {
        Kit.play(CutAnswer::run);
    }

    /** The answer of a request, the same at each box. */
    private static byte[] body(String id) {
        byte[] body = new byte[PIECES * PIECE];
        Arrays.fill(body, (byte) ('a' + Integer.parseInt(id.substring(1), 16) % 26));
        return body;
    }

    private static String run(Kit kit) throws Exception {
        long[] load = {Long.MAX_VALUE};
        Kit.Discovery discovery = new Kit.Discovery();
        for (int i = 0; i < BOXES; i++) {
            int box = i;
            discovery.put("s-" + i, new Kit.Server((request, socket, out) -> {
                String id = request.header("x-trace-id");
                byte[] body = body(id);
                for (int piece = 0; piece < PIECES; piece++) {
                    if (Kit.TROUBLE && box == 0 && Kit.ms() >= load[0] + SILENT_FROM_MS) {
                        kit.note("box s-0 is silent after " + piece * PIECE + " of " + body.length + " bytes of the answer to " + id);
                        Kit.sleep(load[0] + SILENT_FROM_MS + SILENT_MS - Kit.ms());
                        // It is back: its connections are reset.
                        socket.setSoLinger(true, 0);
                        throw new IOException("reset");
                    }
                    if (piece == 0) {
                        out.write(Kit.ascii("HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nConnection: close\r\n\r\n"));
                    }
                    out.write(body, piece * PIECE, PIECE);
                    out.flush();
                    Kit.sleep(PAUSE_MS);
                }
                socket.close();
            }).address, "ready", 0);
        }
        InetSocketAddress listen = Kit.free();
        kit.node("n1", listen, discovery.server.address, discovery.list(), CLASSES, "");
        List<String> broken = Collections.synchronizedList(new ArrayList<>());
        AtomicInteger served = new AtomicInteger();
        List<Thread> clients = new ArrayList<>();
        load[0] = Kit.ms();
        for (int i = 1; i <= REQUESTS; i++) {
            String id = String.format("a%015x", i);
            clients.add(Kit.thread(() -> {
                long sent = Kit.ms();
                String seen;
                try {
                    Kit.Message answer = Kit.call(listen, "GET /view-slots HTTP/1.1\r\nHost: app.svc\r\nX-Trace-Id: " + id
                        + "\r\nX-Qos: view-slots\r\nX-Expires-In: 1.500\r\nConnection: close\r\n\r\n", 15_000);
                    boolean same = Arrays.equals(answer.body, body(id));
                    seen = answer.status + ", " + answer.body.length + " bytes, " + (answer.whole ? "whole" : "cut: " + answer.end);
                    if (answer.status == 200 && answer.whole && same) {
                        served.incrementAndGet();
                    } else if (answer.status == 200 && answer.whole) {
                        seen += "  WRONG: the answer that was made has " + body(id).length + " bytes; headers " + answer.headers;
                        broken.add(id);
                    }
                } catch (IOException e) {
                    seen = "no whole head: " + e;
                }
                kit.note("client: GET " + id + " of " + sent + " ms: " + seen);
            }));
            Kit.sleep(BETWEEN_MS);
        }
        for (Thread client : clients) {
            client.join(20_000);
        }
        kit.note(served + " of " + REQUESTS + " served with the answer that was made for them, " + broken.size() + " with a part of it as whole");
        if (!Kit.TROUBLE && served.get() < REQUESTS * 9 / 10) {
            throw new Kit.CouldNotRun("too few were served in calm: " + served);
        }
        return broken.isEmpty() ? null : broken.size() + " requests were served with 200 and a part of the answer, whole by its framing: " + broken;
    }
}
