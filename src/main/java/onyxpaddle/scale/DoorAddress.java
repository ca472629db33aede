package onyxpaddle.scale;

import java.net.InetAddress;
import java.net.UnknownHostException;

/**
 * The loopback address at which one node reaches one service's list: {@code 127.SERVICE+1.NODE/250.1+NODE%250}. A call names neither
 * node nor service, so the address it came to tells both, to hollow and real nodes alike.
 */
record DoorAddress(int node, int service) {
    static final int MOST_SERVICES = 126;
    private static final int NODES_IN_A_BLOCK = 250;
    static final int MOST_NODES = NODES_IN_A_BLOCK * 250;

    DoorAddress {
        if (node < 0 || node >= MOST_NODES || service < 0 || service >= MOST_SERVICES) {
            throw new IllegalArgumentException("no door for node " + node + " and service " + service);
        }
    }

    String text() {
        return "127." + (service + 1) + "." + node / NODES_IN_A_BLOCK + "." + (1 + node % NODES_IN_A_BLOCK);
    }

    InetAddress address() throws UnknownHostException {
        return InetAddress.getByAddress(new byte[] {127, (byte) (service + 1), (byte) (node / NODES_IN_A_BLOCK),
            (byte) (1 + node % NODES_IN_A_BLOCK)});
    }
}
