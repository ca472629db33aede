package onyxpaddle.serve;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.zip.CRC32C;
import onyxpaddle.serve.Loopback.FakeServer;

/** A server that handles each attempt by the conduct of its trial's case, and records what it reads. */
final class UploadServer extends FakeServer {
    private static final int RECEIVE_BUFFER = 64 * 1024;
    private static final int READ_SIZE = 64 * 1024;
    private static final int SLOW_READ_MS = 60;
    /** What is read of a body before a conduct that begins midway. */
    private static final int MIDWAY_BYTES = 100_000;
    private static final Pattern ID = header("x-trace-id", "(\\S+)");
    private static final Pattern EXPIRES = header("x-expires-in", "([0-9.]+)");
    private static final Pattern LENGTH = header("content-length", "([0-9]+)");
    private static final Pattern CHUNKED = header("transfer-encoding", "(chunked)");

    private final UploadTrial trial;

    UploadServer(String name, UploadTrial trial) throws IOException {
        super(name);
        this.trial = trial;
        listener.setReceiveBufferSize(RECEIVE_BUFFER);
    }

    private static Pattern header(String name, String value) {
        return Pattern.compile("^" + name + ": *" + value + " *\r?$", Pattern.CASE_INSENSITIVE | Pattern.MULTILINE);
    }

    /** A digest of a body's bytes and their number. */
    record Digest(long length, long checksum) {
    }

    @Override
    void serve(Socket socket) throws Exception {
        socket.setTcpNoDelay(true);
        InputStream in = new BufferedInputStream(socket.getInputStream(), READ_SIZE);
        boolean open = true;
        while (open) {
            in.mark(1);
            open = in.read() >= 0;
            long beganAt = System.nanoTime();
            in.reset();
            String head = open ? Loopback.head(in) : null;
            open = head != null && handle(head, beganAt, in, socket);
        }
    }

    /** Handles one attempt; returns whether the connection can carry another. */
    private boolean handle(String head, long beganAt, InputStream in, Socket socket) throws Exception {
        String id = find(ID, head);
        double told = Double.parseDouble(find(EXPIRES, head));
        UploadTrial.Attempt attempt = trial.began(id, beganAt, TimeUnit.MILLISECONDS.toNanos(Math.round(told * 1000)));
        UploadConduct conduct = trial.conduct(attempt);
        if (conduct.point == UploadConduct.Point.HEAD) {
            return act(conduct, socket);
        }
        Reading reading = new Reading(in, conduct);
        boolean midway = conduct.point == UploadConduct.Point.MIDWAY;
        if (find(CHUNKED, head) == null) {
            long length = find(LENGTH, head) == null ? 0 : Long.parseLong(find(LENGTH, head));
            reading.read(midway ? Math.min(length / 2, MIDWAY_BYTES) : length);
        } else {
            reading.readChunks(midway ? MIDWAY_BYTES : Long.MAX_VALUE);
        }
        if (!midway) {
            trial.readWhole(attempt, new Digest(reading.total, reading.checksum.getValue()));
        }
        return act(conduct, socket);
    }

    private boolean act(UploadConduct conduct, Socket socket) throws Exception {
        switch (conduct) {
            case SERVES, READS_SLOWLY -> answer(socket, "200 OK", "", "ran");
            case SERVES_LATE -> {
                TimeUnit.MILLISECONDS.sleep(UploadTrial.LATE_MS);
                answer(socket, "200 OK", "", "ran");
            }
            case RESETS_AT_HEAD, RESETS_MIDWAY, RESETS -> {
                socket.setSoLinger(true, 0);
                return false;
            }
            case CLOSES_AT_HEAD, CLOSES_MIDWAY, CLOSES -> {
                return false;
            }
            case TURNS_AWAY_AT_HEAD, TURNS_AWAY_MIDWAY, TURNS_AWAY -> answer(socket, "503 Full", "X-Never-Ran: 1\r\n", "");
            case FAILS_AT_HEAD, FAILS_MIDWAY, FAILS -> answer(socket, "500 Error", "", "");
            case CUTS_ANSWER -> {
                socket.getOutputStream().write(ascii("HTTP/1.1 200 OK\r\nContent-Length: 30\r\n\r\nra"));
                return false;
            }
            case READS_NOTHING, STOPS_MIDWAY, NEVER_ANSWERS -> trial.awaitEnd();
            case REFUSES_CONNECTIONS -> throw new IllegalStateException("nothing listens");
        }
        return conduct.point == UploadConduct.Point.AFTER;
    }

    private static void answer(Socket socket, String status, String headers, String body) throws IOException {
        String head = "HTTP/1.1 " + status + "\r\n" + headers + "Content-Length: " + body.length() + "\r\n\r\n";
        socket.getOutputStream().write(ascii(head + body));
    }

    private static byte[] ascii(String text) {
        return text.getBytes(StandardCharsets.US_ASCII);
    }

    private static String find(Pattern header, String head) {
        Matcher found = header.matcher(head);
        return found.find() ? found.group(1).toLowerCase(Locale.ROOT) : null;
    }

    /** Reads a body in the pace of the conduct. */
    private static final class Reading {
        private final InputStream in;
        private final boolean slow;
        private final byte[] buffer = new byte[READ_SIZE];
        final CRC32C checksum = new CRC32C();
        long total;

        Reading(InputStream in, UploadConduct conduct) {
            this.in = in;
            this.slow = conduct == UploadConduct.READS_SLOWLY;
        }

        void read(long count) throws Exception {
            for (long left = count; left > 0;) {
                if (slow) {
                    TimeUnit.MILLISECONDS.sleep(SLOW_READ_MS);
                }
                int got = in.readNBytes(buffer, 0, (int) Math.min(left, buffer.length));
                if (got == 0) {
                    throw new IOException("the connection ended within a body");
                }
                checksum.update(buffer, 0, got);
                total += got;
                left -= got;
            }
        }

        /** Reads chunks up to the last one, or until at least {@code limit} bytes of the body were read. */
        void readChunks(long limit) throws Exception {
            while (total < limit) {
                int size = Integer.parseInt(line(), 16);
                read(size);
                line();
                if (size == 0) {
                    return;
                }
            }
        }

        private String line() throws IOException {
            StringBuilder line = new StringBuilder();
            for (int next = in.read(); next != '\n'; next = in.read()) {
                if (next < 0) {
                    throw new IOException("the connection ended within a chunked body");
                }
                line.append((char) next);
            }
            return line.toString().trim();
        }
    }
}
