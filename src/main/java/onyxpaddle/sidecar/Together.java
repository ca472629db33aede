package onyxpaddle.sidecar;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import onyxpaddle.config.Faults;
import onyxpaddle.config.HostPort;
import onyxpaddle.config.Place;
import onyxpaddle.config.Words;
import onyxpaddle.sidecar.Description.Call;

/** What can be wrong only between the applications of one machine: names, ports, and calls to each other. */
final class Together {
    private record Claim(HostPort address, String what, Place place, String path, Description by) {
    }

    private final List<Description> all;
    private final Faults faults;

    private Together(List<Description> all, Faults faults) {
        this.all = all;
        this.faults = faults;
    }

    /** {@code whole}: whether these are all there are. */
    static void check(List<Description> descriptions, boolean whole, Faults faults) {
        Together together = new Together(descriptions, faults);
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
            if (d.port() != 0) {
                claim(claims, new Claim(new HostPort("127.0.0.1", d.port()), "the application `" + d.name() + "`",
                    d.at().place("port"), "port", d));
            }
            if (d.inbound() != null && d.inbound().port() != 0) {
                claim(claims, new Claim(d.inbound(), "the inbound side of `" + d.name() + "`", d.at().place("inbound"),
                    "inbound", d));
            }
            for (Call call : d.calls().values()) {
                if (call.port() != 0) {
                    claim(claims, new Claim(new HostPort("127.0.0.1", call.port()), "the call `" + call.name()
                        + "` of `" + d.name() + "`", call.at().place("port"), call.at().path("port"), d));
                }
            }
        }
    }

    private void claim(List<Claim> claims, Claim claim) {
        for (Claim other : claims) {
            if (claim.address().clashes(other.address())) {
                String where = (claim.by() == other.by() ? "line " + other.place().line() : other.place().toString());
                faults.add(claim.place(), claim.path(), "port " + claim.address().port() + " is claimed by "
                    + other.what() + " too (" + other.address() + ", " + where + ")", "a port of its own for each");
                break;
            }
        }
        claims.add(claim);
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
                        "call its own port " + d.port());
                } else if (whole && !names.contains(call.name())) {
                    String near = Words.nearest(call.name(), names);
                    faults.add(call.at().place(), call.at().path(), "nobody serves `" + call.name() + "`",
                        (near != null ? "did you mean `" + near + "`? " : "")
                            + "`servers`, `file` or `discovery`, or the description of that application beside this one");
                }
            }
        }
    }
}
