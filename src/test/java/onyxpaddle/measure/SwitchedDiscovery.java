package onyxpaddle.measure;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;

/** Discovery that says nothing to any call until it is switched on, and then answers each with one list, at once or after its wait. */
final class SwitchedDiscovery implements AutoCloseable {
    private static final long WATCH_MS = 1_000;

    private final ServerSocket listener = new ServerSocket(0, 200, InetAddress.getByName("127.0.0.1"));
    private final ExecutorService threads = Executors.newCachedThreadPool(task -> {
        Thread thread = new Thread(task, "discovery");
        thread.setDaemon(true);
        return thread;
    });
    private volatile String list;
    private volatile int seq;

    SwitchedDiscovery() throws IOException {
        threads.execute(() -> {
            try {
                while (true) {
                    Socket socket = listener.accept();
                    threads.execute(() -> serve(socket));
                }
            } catch (IOException e) {
                // It is closed.
            }
        });
    }

    String address() {
        return "127.0.0.1:" + listener.getLocalPort();
    }

    /** From the next call on it answers with this list of this version; what is out stays unanswered. */
    void on(int version, String whole) {
        seq = version;
        list = whole;
    }

    private void serve(Socket socket) {
        try (socket) {
            for (String head = HttpHead.read(socket.getInputStream()); head != null; head = HttpHead.read(socket.getInputStream())) {
                String answer = list;
                if (answer == null) {
                    TimeUnit.DAYS.sleep(1);
                }
                boolean watch = head.contains("after=" + seq + "&") && !head.contains("wait_ms=0");
                if (watch) {
                    TimeUnit.MILLISECONDS.sleep(WATCH_MS);
                    answer = "{\"seq\":" + seq + ",\"whole\":false,\"hosts\":[]}";
                }
                socket.getOutputStream().write(("HTTP/1.1 200 OK\r\nContent-Length: " + answer.length() + "\r\n\r\n" + answer)
                    .getBytes(StandardCharsets.US_ASCII));
            }
        } catch (IOException e) {
            // The node has let it go.
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    @Override
    public void close() throws IOException {
        listener.close();
        threads.shutdownNow();
    }
}
