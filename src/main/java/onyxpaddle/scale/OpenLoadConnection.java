package onyxpaddle.scale;

import java.io.Closeable;
import java.io.IOException;

/** A connection that carries one call at a time and never blocks its caller. Used by one thread. */
interface OpenLoadConnection extends Closeable {
    /** Opens one more to the same server. */
    interface Connector {
        OpenLoadConnection connect() throws IOException;
    }

    /** Whether a call can still be sent: false once the other end has closed it. Asked while no call is open. */
    boolean usable() throws IOException;

    /** Sends the next call; the one before has been answered. */
    void send() throws IOException;

    /** Whether the call that was sent has its whole answer by now; an {@link IOException} if it never will. */
    boolean answered() throws IOException;
}
