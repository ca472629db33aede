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

/** What can be wrong only between the applications of one machine: names, ports, and calls to each other. */
final class CrossDescriptionCheck {
    private record Claim(HostPort address, String what, Place place, String path, Description by) {
    }

    private final List<Description> all;
    private final Faults faults;

    private CrossDescriptionCheck(List<Description> all, Faults faults) {
        this.all = all;
        this.faults = faults;
    }

    /** {@code whole}: whether these are all there are. */
    static void check(List<Description> descriptions, boolean whole, Faults faults) {
        CrossDescriptionCheck together = new CrossDescriptionCheck(descriptions, faults);
        together.names();
        together.ports();
        together.calls(whole);
    }

    private void names() {
        Map<String, Description> first = new HashMap<>();
        for (Description d : all) {
            Description other = d.name().isEmpty() ? null : first.putIfAbsent(d.name(), d);
            if (other != null) {
                faults.add(d.at().place("application"), "application", "`" + d.name() + "` is described in "
                    + other.file() + " too", "a name of its own for each application");
            }
        }
    }

    private void ports() {
        List<Claim> claims = new ArrayList<>();
        for (Description d : all) {
            claim(claims, d, d.at(), "port", here(d.ports().http()), "the application `" + d.name() + "`");
            claim(claims, d, d.at(), "rpc-port", here(d.ports().rpc()), "the application `" + d.name() + "`");
            claim(claims, d, d.at(), "inbound", d.inbound(), "the inbound side of `" + d.name() + "`");
            claim(claims, d, d.at(), "inbound-rpc", d.inboundRpc(), "the inbound side of `" + d.name() + "`");
            claim(claims, d, d.at(), "admin", d.admin(), "the operators' door of `" + d.name() + "`");
            for (Call call : d.calls().values()) {
                String what = "the call `" + call.name() + "` of `" + d.name() + "`";
                claim(claims, d, call.at(), "port", here(call.ports().http()), what);
                claim(claims, d, call.at(), "rpc-port", here(call.ports().rpc()), what);
            }
        }
    }

    private static HostPort here(int port) {
        return new HostPort("127.0.0.1", port);
    }

    private void claim(List<Claim> claims, Description by, ConfigView at, String key, HostPort address, String what) {
        if (address != null && address.port() != 0) {
            claim(claims, new Claim(address, what, at.place(key), at.path(key), by));
        }
    }

    private void claim(List<Claim> claims, Claim claim) {
        for (Claim other : claims) {
            if (claim.address().conflictsWith(other.address())) {
                String where = (claim.by() == other.by() ? "line " + other.place().line() : other.place().toString());
                faults.add(claim.place(), claim.path(), "port " + claim.address().port() + " is claimed by "
                    + other.what() + " too (" + other.address() + ", " + where + ")", "a port of its own for each");
                break;
            }
        }
        claims.add(claim);
    }

    /** That an application on this machine is called by what it speaks. */
    private void spoken(Call call, Description other) {
        if (call.ports().http() != 0 && other.inbound() == null) {
            faults.add(call.at().place("port"), call.at().path("port"), "`" + other.name() + "` does not speak HTTP",
                "`rpc-port`, or `inbound` in the description of `" + other.name() + "`");
        }
        if (call.ports().rpc() != 0 && other.inboundRpc() == null) {
            faults.add(call.at().place("rpc-port"), call.at().path("rpc-port"), "`" + other.name()
                + "` does not speak MessagePack-RPC", "`port`, or `inbound-rpc` in the description of `" + other.name() + "`");
        }
    }

    private void calls(boolean whole) {
        List<String> names = all.stream().map(Description::name).filter(n -> !n.isEmpty()).toList();
        for (Description d : all) {
            for (Call call : d.calls().values()) {
                if (!call.application()) {
                    continue;
                }
                if (call.name().equals(d.name())) {
                    faults.add(call.at().place(), call.at().path(), "the application calls itself through its own node",
                        "call its own port " + (d.ports().http() != 0 ? d.ports().http() : d.ports().rpc()));
                } else if (whole && !names.contains(call.name())) {
                    String near = SpellingSuggestions.nearest(call.name(), names);
                    faults.add(call.at().place(), call.at().path(), "nobody serves `" + call.name() + "`",
                        (near != null ? "did you mean `" + near + "`? " : "")
                            + "`servers`, `file` or `discovery`, or the description of that application beside this one");
                } else {
                    all.stream().filter(o -> o.name().equals(call.name())).findFirst().ifPresent(o -> spoken(call, o));
                }
            }
        }
    }
}
