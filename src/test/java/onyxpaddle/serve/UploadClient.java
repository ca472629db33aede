package onyxpaddle.serve;

import java.io.BufferedOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.zip.CRC32C;
import onyxpaddle.BalancerApi.Effect;

/** Sends one request with a body over a connection of its own, and reads what comes while it writes. */
final class UploadClient {
    private static final int MAX_SIZE = 32 << 20;
    private static final int OFFSETS = 4096;
    private static final int PIECE = 16_000;
    private static final int PIECES_OF_A_SPREAD_BODY = 20;
    private static final byte[] NOISE = new byte[MAX_SIZE + OFFSETS];

    static {
        new Random(1).nextBytes(NOISE);
    }

    /** What is sent: a part of {@link #NOISE} that differs from one request to the next. */
    final UploadServer.Digest digest;
    final String id;
    private final UploadCase upload;
    private final int offset;
    /** When it began to write. */
    volatile long beganAt;
    /** When the write of the last byte returned, by the system's monotonic clock; 0 if it has not. */
    volatile long writtenAt;
    /** When a write last returned. */
    volatile long wroteAt;
    /** The status of the answer; 0 for none. */
    volatile int status;
    /** When the answer or the end of the connection was read; 0 if neither. */
    volatile long wordAt;

    UploadClient(UploadCase upload, String id) {
        this.upload = upload;
        this.id = id;
        this.offset = Math.floorMod(id.hashCode(), OFFSETS);
        CRC32C checksum = new CRC32C();
        checksum.update(NOISE, offset, upload.size());
        digest = new UploadServer.Digest(upload.size(), checksum.getValue());
    }

    /** Runs until an answer or the end of the connection has come, or until {@code limitMs} after the last write. */
    void run(InetSocketAddress node, int limitMs) throws Exception {
        try (Loopback.Client client = new Loopback.Client(node)) {
            client.socket.setTcpNoDelay(true);
            client.socket.setSoTimeout(0);
            beganAt = System.nanoTime();
            wroteAt = beganAt;
            Thread reader = new Thread(() -> read(client));
            reader.setDaemon(true);
            reader.start();
            Thread writer = new Thread(() -> write(client));
            writer.setDaemon(true);
            writer.start();
            while (reader.isAlive() && System.nanoTime() - wroteAt < TimeUnit.MILLISECONDS.toNanos(limitMs)) {
                reader.join(5);
            }
        }
    }

    private void read(Loopback.Client client) {
        try {
            String answer = client.readAnswer();
            status = answer == null ? 0 : Integer.parseInt(answer.split(" ")[0]);
            wordAt = System.nanoTime();
        } catch (IOException e) {
            wordAt = client.socket.isClosed() ? 0 : System.nanoTime();
        }
    }

    private void write(Loopback.Client client) {
        try {
            OutputStream out = new BufferedOutputStream(client.socket.getOutputStream(), 4 * PIECE);
            out.write(head().getBytes(StandardCharsets.US_ASCII));
            int pauseEach = Math.max(PIECE, upload.size() / PIECES_OF_A_SPREAD_BODY);
            int pauseMs = upload.spreadMs() / PIECES_OF_A_SPREAD_BODY;
            for (int at = 0, paused = 0; at < upload.size(); at += PIECE) {
                writePiece(out, at, Math.min(PIECE, upload.size() - at));
                if (pauseMs > 0 && at - paused >= pauseEach) {
                    paused = at;
                    out.flush();
                    TimeUnit.MILLISECONDS.sleep(pauseMs);
                }
                wroteAt = System.nanoTime();
            }
            out.write((upload.chunked() ? "0\r\n\r\n" : "").getBytes(StandardCharsets.US_ASCII));
            out.flush();
            wroteAt = System.nanoTime();
            writtenAt = wroteAt;
        } catch (IOException | InterruptedException e) {
            // The node has closed the connection: the reader tells what came before.
        }
    }

    private void writePiece(OutputStream out, int at, int size) throws IOException {
        if (upload.chunked()) {
            out.write((Integer.toHexString(size) + "\r\n").getBytes(StandardCharsets.US_ASCII));
        }
        out.write(NOISE, offset + at, size);
        if (upload.chunked()) {
            out.write("\r\n".getBytes(StandardCharsets.US_ASCII));
        }
    }

    private String head() {
        boolean safe = upload.effect() == Effect.SAFE;
        String name = UploadTrial.className(upload.effect());
        StringBuilder head = new StringBuilder(safe ? "GET" : "POST").append(" /").append(name)
            .append(" HTTP/1.1\r\nHost: app.svc\r\nX-Trace-Id: ").append(id).append("\r\nX-Qos: ").append(name).append("\r\nX-Expires-In: ")
            .append(upload.timeoutMs() / 1000.0).append("\r\n");
        if (upload.effect() == Effect.KEYED) {
            head.append("Idempotency-Key: key-").append(id).append("\r\n");
        }
        if (!safe) {
            head.append(upload.chunked() ? "Transfer-Encoding: chunked" : "Content-Length: " + upload.size()).append("\r\n");
        }
        return head.append("\r\n").toString();
    }
}
