package onyxpaddle.sidecar;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import onyxpaddle.config.Faults;
import onyxpaddle.config.HostPort;
import onyxpaddle.config.Place;
import onyxpaddle.config.ConfigView;
import onyxpaddle.config.SpellingSuggestions;
import onyxpaddle.sidecar.Description.Call;

/** Checks the descriptions of one machine against each other: names, ports, and calls between the applications. */
final class CrossDescriptionCheck {
    private record PortUse(HostPort address, String user, Place place, String path, Description description) {
    }

    private final List<Description> all;
    private final Faults faults;

    private CrossDescriptionCheck(List<Description> all, Faults faults) {
        this.all = all;
        this.faults = faults;
    }

    /** {@code complete}: whether the descriptions cover all applications of the machine. */
    static void check(List<Description> descriptions, boolean complete, Faults faults) {
        CrossDescriptionCheck check = new CrossDescriptionCheck(descriptions, faults);
        check.checkNames();
        check.checkPorts();
        check.checkCalls(complete);
    }

    private void checkNames() {
        Map<String, Description> first = new HashMap<>();
        for (Description d : all) {
            Description other = d.name().isEmpty() ? null : first.putIfAbsent(d.name(), d);
            if (other != null) {
                faults.add(d.at().place("application"), "application", "`" + d.name() + "` is also described in "
                    + other.file(), "a unique name for each application");
            }
        }
    }

    private void checkPorts() {
        List<PortUse> uses = new ArrayList<>();
        for (Description d : all) {
            addPort(uses, d, d.at(), "port", loopback(d.ports().http()), "the application `" + d.name() + "`");
            addPort(uses, d, d.at(), "rpc-port", loopback(d.ports().rpc()), "the application `" + d.name() + "`");
            addPort(uses, d, d.at(), "inbound", d.inbound(), "the inbound listener of `" + d.name() + "`");
            addPort(uses, d, d.at(), "inbound-rpc", d.inboundRpc(), "the inbound listener of `" + d.name() + "`");
            addPort(uses, d, d.at(), "admin", d.admin(), "the admin endpoint of `" + d.name() + "`");
            for (Call call : d.calls().values()) {
                String user = "the call `" + call.name() + "` of `" + d.name() + "`";
                addPort(uses, d, call.at(), "port", loopback(call.ports().http()), user);
                addPort(uses, d, call.at(), "rpc-port", loopback(call.ports().rpc()), user);
            }
        }
    }

    private static HostPort loopback(int port) {
        return new HostPort("127.0.0.1", port);
    }

    private void addPort(List<PortUse> uses, Description description, ConfigView at, String key, HostPort address, String user) {
        if (address != null && address.port() != 0) {
            addPort(uses, new PortUse(address, user, at.place(key), at.path(key), description));
        }
    }

    private void addPort(List<PortUse> uses, PortUse use) {
        for (PortUse other : uses) {
            if (use.address().conflictsWith(other.address())) {
                String where = (use.description() == other.description() ? "line " + other.place().line() : other.place().toString());
                faults.add(use.place(), use.path(), "port " + use.address().port() + " is also used by "
                    + other.user() + " (" + other.address() + ", " + where + ")", "a unique port for each");
                break;
            }
        }
        uses.add(use);
    }

    /** Checks that the called application on this machine serves the protocols of the call. */
    private void checkProtocols(Call call, Description other) {
        if (call.ports().http() != 0 && other.inbound() == null) {
            faults.add(call.at().place("port"), call.at().path("port"), "`" + other.name() + "` does not serve HTTP",
                "`rpc-port`, or `inbound` in the description of `" + other.name() + "`");
        }
        if (call.ports().rpc() != 0 && other.inboundRpc() == null) {
            faults.add(call.at().place("rpc-port"), call.at().path("rpc-port"), "`" + other.name()
                + "` does not serve MessagePack-RPC", "`port`, or `inbound-rpc` in the description of `" + other.name() + "`");
        }
    }

    private void checkCalls(boolean complete) {
        List<String> names = all.stream().map(Description::name).filter(n -> !n.isEmpty()).toList();
        for (Description d : all) {
            for (Call call : d.calls().values()) {
                if (!call.application()) {
                    continue;
                }
                if (call.name().equals(d.name())) {
                    faults.add(call.at().place(), call.at().path(), "the application calls itself through its own node",
                        "call its own port " + (d.ports().http() != 0 ? d.ports().http() : d.ports().rpc()));
                } else if (complete && !names.contains(call.name())) {
                    String similar = SpellingSuggestions.nearest(call.name(), names);
                    faults.add(call.at().place(), call.at().path(), "no application named `" + call.name() + "`",
                        (similar != null ? "did you mean `" + similar + "`? " : "")
                            + "`servers`, `file` or `discovery`, or the description of that application among the files");
                } else {
                    all.stream().filter(o -> o.name().equals(call.name())).findFirst().ifPresent(o -> checkProtocols(call, o));
                }
            }
        }
    }
}
