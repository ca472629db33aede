package onyxpaddle.node;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import onyxpaddle.BalancerApi.ServerEntry;

/**
 * A list of servers: the whole list, or the entries that changed. {@code seq} is the source's version of it, 0 if it
 * has none.
 */
public record ServerList(long seq, boolean whole, List<Host> hosts) {
    /**
     * An entry for the balancer, and the addresses at which this node reaches the server: {@code address} by HTTP, null
     * if it does not speak HTTP or is gone; {@code more} by other protocols.
     */
    public record Host(ServerEntry entry, InetSocketAddress address, Map<String, InetSocketAddress> more) {
        /** A server that speaks HTTP only. */
        public Host(ServerEntry entry, InetSocketAddress address) {
            this(entry, address, Map.of());
        }

        /** Its address for another protocol; null if it does not speak that. */
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
