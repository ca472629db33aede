package onyxpaddle.config;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import onyxpaddle.config.NodeConfig.Server;

/** Reads lists of servers, from a configuration or from list files. */
public final class ServerListReader {
    private ServerListReader() {
    }

    /** Returns the servers under a key. Duplicate ids and addresses are faults, and are left out. */
    public static List<Server> read(ConfigView at, String key, Faults faults) {
        List<Server> servers = new ArrayList<>();
        Map<String, Place> ids = new HashMap<>();
        Map<HostPort, Place> addresses = new HashMap<>();
        for (ConfigView item : at.items(key)) {
            String text = item.self(Schema.Kind.ADDRESS);
            HostPort address = item.isSection() ? item.address("address") : text == null ? null : HostPort.parse(text);
            HostPort rpc = item.address("rpc");
            if (address == null && rpc == null) {
                if (item.isSection() && !item.has("address") && !item.has("rpc")) {
                    faults.add(item.place(), item.path(), "a server without an address",
                        "`address:` for HTTP, `rpc:` for MessagePack-RPC, or both");
                }
                continue;
            }
            Server server = new Server(item.text("id", Schema.Kind.TEXT, (address != null ? address : rpc).toString()),
                address, item.number("weight", 1), item.text("zone", Schema.Kind.NAME, ""),
                item.word("state", "ready", "ready", "draining").equals("draining"), rpc);
            if (isConnectable(server, item, faults) && !isDuplicate(server, item, ids, addresses, faults)) {
                servers.add(server);
            }
        }
        return servers;
    }

    private static boolean isConnectable(Server server, ConfigView item, Faults faults) {
        for (HostPort address : server.addresses()) {
            if (address.port() == 0 || address.any()) {
                faults.add(item.place(), item.path(), "not a connectable address: " + address,
                    "the address and port that the server listens on");
                return false;
            }
        }
        return true;
    }

    private static boolean isDuplicate(Server server, ConfigView item, Map<String, Place> ids, Map<HostPort, Place> addresses,
            Faults faults) {
        Place first = ids.putIfAbsent(server.id(), item.place());
        String identifier = server.id();
        for (HostPort address : server.addresses()) {
            Place duplicate = addresses.putIfAbsent(address, item.place());
            if (duplicate != null) {
                first = duplicate;
                identifier = address.toString();
            }
        }
        if (first != null) {
            faults.add(item.place(), item.path(), "the server " + identifier + " is already listed at line " + first.line(),
                "each server once, with an id and an address of its own");
        }
        return first != null;
    }

    /** Returns the servers of a list file, or null if it has any fault: an incomplete list is worse than the previous one. */
    public static List<Server> file(Path file, Faults faults) {
        Faults fileFaults = new Faults();
        String text = SourceFile.text(file, fileFaults);
        List<Server> servers = text == null ? null : text(file.toString(), text, fileFaults);
        faults.addAll(fileFaults.list());
        return servers;
    }

    /** As {@link #file}, and adds a fault to the section that refers to the file if the list is invalid. */
    public static List<Server> named(ConfigView at, Path file, Faults faults) {
        List<Server> servers = file(file, faults);
        if (servers == null) {
            faults.add(at.place("file"), at.path("file"), "the list file " + file.getFileName() + " is invalid",
                "see the faults of that file");
        }
        return servers;
    }

    /** As {@link #file}, for a text that was already read. */
    public static List<Server> text(String name, String text, Faults faults) {
        Faults fileFaults = new Faults();
        List<Server> servers = null;
        if (!text.endsWith("\n")) {
            fileFaults.add(Place.of(name), "", "does not end with a line break: it may be incomplete",
                "write the list to another file and rename it, or end its last line");
        } else {
            Value value = SourceFile.parse(name, text, fileFaults);
            if (value != null) {
                SchemaValidator.check(value, NodeSchema.LIST_FILE, fileFaults);
                ConfigView view = new ConfigView(value);
                servers = read(view, "servers", fileFaults);
                int count = view.count("count", -1);
                if (count >= 0 && count != servers.size() && !fileFaults.any()) {
                    fileFaults.add(view.place("count"), "count", "says " + count + " where the list names " + servers.size(),
                        "the number of servers in the list");
                }
            }
        }
        faults.addAll(fileFaults.list());
        return fileFaults.any() ? null : servers;
    }
}
