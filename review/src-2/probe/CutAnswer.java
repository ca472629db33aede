package probe;

import java.net.InetSocketAddress;
import java.util.Arrays;
import java.util.concurrent.atomic.AtomicInteger;

/** A server hangs in the middle of an answer without a length, and the client gets it as if it were whole. */
final class CutAnswer {
    private static final int WHOLE = 300_000;
    private static final int SENT = 100_000;
    private static final int HANG_MS = 9_000;
    private static final String CLASSES = "[{\"name\":\"view-slots\",\"effect\":\"read_like\",\"group\":\"all\",\"memorySpanS\":5.0,"
        + "\"aimS\":0.6,\"deadlineS\":1.5,\"worth\":3.0,\"lateWorth\":0.5}]";

    public static void main(String[] args) {
        Kit.play(CutAnswer::run);
    }

    private static byte[] body(int number) {
        byte[] body = new byte[WHOLE];
        Arrays.fill(body, (byte) ('a' + number % 26));
        return body;
    }

    private static String run(Kit kit) throws Exception {
        AtomicInteger asked = new AtomicInteger();
        Kit.Handler handler = (request, socket, out) -> {
            int number = asked.incrementAndGet();
            String id = request.header("x-trace-id");
            out.write(Kit.ascii("HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nConnection: close\r\n\r\n"));
            byte[] body = body(Integer.parseInt(id.substring(1), 16));
            if (Kit.TROUBLE) {
                out.write(body, 0, SENT);
                out.flush();
                kit.note("server: run " + number + " of " + id + ": " + SENT + " of " + WHOLE + " bytes of the answer, then silent");
                Kit.sleep(HANG_MS);
                out.write(body, SENT, WHOLE - SENT);
            } else {
                out.write(body);
                kit.note("server: run " + number + " of " + id + ": whole answer of " + WHOLE + " bytes");
            }
            out.flush();
            socket.close();
        };
        Kit.Discovery discovery = new Kit.Discovery();
        for (int i = 0; i < 3; i++) {
            discovery.put("s-" + i, new Kit.Server(handler).address, "ready", 0);
        }
        InetSocketAddress listen = Kit.free();
        kit.node("n1", listen, discovery.server.address, discovery.list(), CLASSES, "");
        String broken = null;
        for (int i = 1; i <= 3; i++) {
            String id = String.format("a%015x", i);
            Kit.Message answer = null;
            String end = "";
            kit.note("client: GET " + id);
            try {
                answer = Kit.call(listen, "GET /view-slots HTTP/1.1\r\nHost: app.svc\r\nX-Trace-Id: " + id
                    + "\r\nX-Qos: view-slots\r\nX-Expires-In: 1.500\r\nConnection: close\r\n\r\n", 20_000);
                end = answer.whole ? "whole" : "cut: " + answer.end;
            } catch (java.io.IOException e) {
                end = "no answer: " + e;
            }
            boolean same = answer != null && Arrays.equals(answer.body, body(i));
            kit.note("client: " + id + ": " + (answer == null ? "" : answer.status + " " + answer.headers + ", " + answer.body.length + " bytes, ") + end);
            if (answer != null && answer.status == 200 && answer.whole && !same) {
                broken = id + " was served 200, whole by its framing, with " + answer.body.length + " bytes; its server's answer has " + WHOLE;
            }
            if (!Kit.TROUBLE && !same) {
                throw new Kit.CouldNotRun("a calm request was not served");
            }
        }
        return broken;
    }
}
