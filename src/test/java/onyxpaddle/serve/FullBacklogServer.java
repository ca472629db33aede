package onyxpaddle.serve;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;

/** A server whose queue for connections can be filled, so that a dial hangs until it is emptied and the system tries again. */
final class FullBacklogServer implements AutoCloseable {
    private final ServerSocket listener = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"));
    private final List<Socket> fill = new ArrayList<>();

    FullBacklogServer() throws IOException {
        listener.setSoTimeout(Loopback.TIMEOUT_MS);
    }

    String address() {
        return "127.0.0.1:" + listener.getLocalPort();
    }

    FullBacklogServer fillBacklog() throws IOException {
        for (int i = 0; i < 2; i++) {
            fill.add(new Socket(listener.getInetAddress(), listener.getLocalPort()));
        }
        return this;
    }

    Socket accept() throws IOException {
        Socket socket = listener.accept();
        socket.setSoTimeout(Loopback.TIMEOUT_MS);
        return socket;
    }

    /** Takes off what filled it, and returns what came last. */
    Socket acceptDelayed() throws IOException {
        for (Socket socket : fill) {
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
