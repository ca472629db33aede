package onyxpaddle.serve;

import java.io.IOException;
import java.net.Socket;

/** How a client ends its connection. */
enum Departure {
    CLOSE, HALF_CLOSE, RESET;

    /** Ends the connection in this way; after a half-close the socket stays open. */
    void leave(Socket socket) throws IOException {
        if (this == HALF_CLOSE) {
            socket.shutdownOutput();
            return;
        }
        if (this == RESET) {
            socket.setSoLinger(true, 0);
        }
        socket.close();
    }
}
