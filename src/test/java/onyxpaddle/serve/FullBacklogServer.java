package onyxpaddle.serve;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;

/**
 * A listener whose accept backlog a test can fill. A dial to it hangs until the backlog is emptied and the kernel retransmits its SYN.
 */
final class FullBacklogServer implements AutoCloseable {
    private final ServerSocket listener = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"));
    private final List<Socket> fillers = new ArrayList<>();

    FullBacklogServer() throws IOException {
        listener.setSoTimeout(Loopback.TIMEOUT_MS);
    }

    String address() {
        return "127.0.0.1:" + listener.getLocalPort();
    }

    /** Fills the backlog: it holds two connections, as the kernel admits one more than the length that it was given. */
    FullBacklogServer fillBacklog() throws IOException {
        for (int i = 0; i < 2; i++) {
            fillers.add(new Socket(listener.getInetAddress(), listener.getLocalPort()));
        }
        return this;
    }

    Socket accept() throws IOException {
        Socket socket = listener.accept();
        socket.setSoTimeout(Loopback.TIMEOUT_MS);
        return socket;
    }

    /** Empties the backlog and returns the connection whose dial hung meanwhile. */
    Socket acceptDelayed() throws IOException {
        for (Socket socket : fillers) {
            listener.accept().close();
            socket.close();
        }
        return accept();
    }

    @Override
    public void close() throws IOException {
        listener.close();
    }
}
