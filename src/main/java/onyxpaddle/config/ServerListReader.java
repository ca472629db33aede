package onyxpaddle.config;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import onyxpaddle.config.NodeConfig.Server;

/** Reads lists of servers: those in a configuration, and list files. */
public final class ServerListReader {
    private ServerListReader() {
    }

    /** The servers under a key, without duplicates of id or address, which are faults. */
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
            if (reachable(server, item, faults) && !twice(server, item, ids, addresses, faults)) {
                servers.add(server);
            }
        }
        return servers;
    }

    private static boolean reachable(Server server, ConfigView item, Faults faults) {
        for (HostPort address : server.addresses()) {
            if (address.port() == 0 || address.any()) {
                faults.add(item.place(), item.path(), "nothing can be reached at " + address,
                    "the address and port that the server listens on");
                return false;
            }
        }
        return true;
    }

    private static boolean twice(Server server, ConfigView item, Map<String, Place> ids, Map<HostPort, Place> addresses,
            Faults faults) {
        Place first = ids.putIfAbsent(server.id(), item.place());
        String what = server.id();
        for (HostPort address : server.addresses()) {
            Place same = addresses.putIfAbsent(address, item.place());
            if (same != null) {
                first = same;
                what = address.toString();
            }
        }
        if (first != null) {
            faults.add(item.place(), item.path(), "the server " + what + " stands twice, first at line " + first.line(),
                "each server once, with an id and an address of its own");
        }
        return first != null;
    }

    /** The servers of a list file; null where it is at fault in any way, as half a list is worse than the last one. */
    public static List<Server> file(Path file, Faults faults) {
        Faults own = new Faults();
        String text = SourceFile.text(file, own);
        List<Server> servers = text == null ? null : text(file.toString(), text, own);
        faults.addAll(own.list());
        return servers;
    }

    /** As {@link #file}, for the section that names it, which is told of if the list is at fault. */
    public static List<Server> named(ConfigView at, Path file, Faults faults) {
        List<Server> servers = file(file, faults);
        if (servers == null) {
            faults.add(at.place("file"), at.path("file"), "the list file " + file.getFileName() + " can't be taken",
                "see the faults of that file");
        }
        return servers;
    }

    /** As {@link #file}, of a text that was read already. */
    public static List<Server> text(String name, String text, Faults faults) {
        Faults own = new Faults();
        List<Server> servers = null;
        if (!text.endsWith("\n")) {
            own.add(Place.of(name), "", "does not end with a line break: it may be half written",
                "write the list to another file and rename it, or end its last line");
        } else {
            Value value = SourceFile.parse(name, text, own);
            if (value != null) {
                SchemaValidator.check(value, NodeSchema.LIST_FILE, own);
                ConfigView view = new ConfigView(value);
                servers = read(view, "servers", own);
                int count = view.count("count", -1);
                if (count >= 0 && count != servers.size() && !own.any()) {
                    own.add(view.place("count"), "count", "says " + count + " where the list names " + servers.size(),
                        "the number of servers in the list");
                }
            }
        }
        faults.addAll(own.list());
        return own.any() ? null : servers;
    }
}
