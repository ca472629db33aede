package onyxpaddle.membership;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import onyxpaddle.BalancerApi.ServerState;
import onyxpaddle.node.ServerList;
import onyxpaddle.node.ServerList.Host;

/**
 * An answer of discovery: a whole list or changes, with the entries that could be read and those that could not.
 *
 * @param version discovery's version of the list
 * @param whole whether servers without an entry are gone
 */
public record ListUpdate(long version, boolean whole, List<Host> hosts, List<InvalidEntry> invalid) {
    /**
     * An entry that could not be read.
     *
     * @param server the server's id; null if that could not be read either
     * @param reason what is wrong with the entry
     */
    public record InvalidEntry(String server, String reason) {
        @Override
        public String toString() {
            return (server == null ? "unnamed server" : server) + ": " + reason;
        }
    }

    /** What an update says of one server: {@code host} is null if it cannot be known. */
    record Entry(Host host) {
        private static final Entry UNREADABLE = new Entry(null);

        boolean readable() {
            return host != null;
        }
    }

    public ListUpdate {
        hosts = List.copyOf(hosts);
        invalid = List.copyOf(invalid);
    }

    /** The entries that could be read. */
    public ServerList list() {
        return new ServerList(version, whole, hosts);
    }

    /** What it says of each server that it names; a server that it names twice and differently cannot be read. */
    Map<String, Entry> entries() {
        Map<String, Entry> entries = new HashMap<>();
        for (Host host : hosts) {
            Entry entry = new Entry(host);
            entries.merge(host.entry().server(), entry, (a, b) -> a.equals(b) ? a : Entry.UNREADABLE);
        }
        for (InvalidEntry entry : invalid) {
            if (entry.server() != null) {
                entries.put(entry.server(), Entry.UNREADABLE);
            }
        }
        return entries;
    }

    /** Whether an entry's server is not known, or a server has entries that contradict each other or cannot be read. */
    boolean incomplete() {
        return !invalid.isEmpty() || entries().values().stream().anyMatch(entry -> !entry.readable());
    }

    int count(ServerState state) {
        return (int) hosts.stream().filter(host -> host.entry().state() == state).count();
    }
}
