package onyxpaddle.node;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import onyxpaddle.BalancerApi.ServerEntry;

/**
 * A list of servers: the whole list, or the entries that changed. {@code seq} is the source's own version of it, 0
 * where it has none.
 */
public record ServerList(long seq, boolean whole, List<Host> hosts) {
    /**
     * An entry for the module, and where this node reaches the server: {@code address} by HTTP, null where it doesn't
     * speak that or is gone; {@code more} by other protocols.
     */
    public record Host(ServerEntry entry, InetSocketAddress address, Map<String, InetSocketAddress> more) {
        /** One that is reached by the node's first protocol alone. */
        public Host(ServerEntry entry, InetSocketAddress address) {
            this(entry, address, Map.of());
        }

        /** Where it is reached by a further protocol; null where it doesn't speak that. */
        public InetSocketAddress address(String protocol) {
            return more.get(protocol);
        }
    }

    public ServerList {
        hosts = List.copyOf(hosts);
    }

    public List<ServerEntry> entries() {
        return hosts.stream().map(Host::entry).toList();
    }
}
