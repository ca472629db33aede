package onyxpaddle.config;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import onyxpaddle.config.NodeConfig.Listener;
import onyxpaddle.route.Procedure;
import onyxpaddle.route.ProcedureTable;

/** Reads and validates the procedures of a node's configuration. */
final class ProcedureReader {
    private final ConfigView root;
    private final Faults faults;

    ProcedureReader(ConfigView root, Faults faults) {
        this.root = root;
        this.faults = faults;
    }

    List<Procedure> read(Map<String, Listener> listeners, Map<String, Set<String>> used) {
        List<Procedure> procedures = new ArrayList<>();
        Map<Procedure, ConfigView> places = new HashMap<>();
        Map<String, Place> names = new HashMap<>();
        for (ConfigView view : root.items("procedures")) {
            String name = view.text("name", Schema.Kind.NAME, null);
            String listener = NodeConfigReader.resolveName(root, view, "listener", "listeners", used, faults);
            String pool = NodeConfigReader.resolveName(root, view, "pool", "pools", used, faults);
            String requestClass = NodeConfigReader.resolveName(root, view, "class", "classes", used, faults);
            String pattern = view.text("procedure", Schema.Kind.PROCEDURE, null);
            if (listeners.containsKey(listener) && !listeners.get(listener).rpc()) {
                faults.add(view.place("listener"), view.path("listener"), "callers of `" + listener
                    + "` speak HTTP, and this is a procedure of MessagePack-RPC",
                    "a listener with `protocol: messagepack-rpc`, or an entry of `routes`");
            }
            Place first = name == null ? null : names.putIfAbsent(name, view.place());
            if (first != null) {
                faults.add(view.place("name"), view.path("name"), "two procedures are called `" + name
                    + "`, the other at line " + first.line(), "a name of its own for each");
            }
            if (name != null && listener != null && pool != null && requestClass != null && pattern != null) {
                Procedure procedure = new Procedure(name, listener, pattern, pool, requestClass,
                    view.text("path", Schema.Kind.PATH, null));
                procedures.add(procedure);
                places.put(procedure, view);
            }
        }
        ProcedureTable.duplicates(procedures).forEach((later, first) -> faults.add(places.get(later).place("procedure"),
            places.get(later).path("procedure"), "`" + later.pattern() + "` is already routed at line "
                + places.get(first).place().line(), "each procedure once on a listener"));
        return procedures;
    }
}
