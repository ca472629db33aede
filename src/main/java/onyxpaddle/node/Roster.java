package onyxpaddle.node;

import java.net.InetSocketAddress;
import java.util.List;
import onyxpaddle.Balancing.ServerEntry;

/**
 * A list of servers: the whole list, or the entries that changed. {@code seq} is the source's own version of it, 0
 * where it has none.
 */
public record Roster(long seq, boolean whole, List<Host> hosts) {
    /** An entry for the module, and where this node reaches the server; the address of one that is gone may be null. */
    public record Host(ServerEntry entry, InetSocketAddress address) {
    }

    public Roster {
        hosts = List.copyOf(hosts);
    }

    public List<ServerEntry> entries() {
        return hosts.stream().map(Host::entry).toList();
    }
}
