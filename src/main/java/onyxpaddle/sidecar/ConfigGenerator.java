package onyxpaddle.sidecar;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeSet;
import onyxpaddle.config.HostPort;
import onyxpaddle.config.NodeConfig.Pool;
import onyxpaddle.config.NodeConfig.RequestClass;
import onyxpaddle.config.NodeConfig.Rpc;
import onyxpaddle.config.NodeConfig.Server;
import onyxpaddle.config.Units;
import onyxpaddle.sidecar.Description.Call;
import onyxpaddle.sidecar.Description.Served;

/**
 * Makes the node's configuration from a sound description, as text. The same descriptions give the same text, byte for
 * byte. Everything the reader would take as usual is written out all the same: a configuration is read by people who
 * want to know what holds.
 */
final class ConfigGenerator {
    private static final String RPC = ", protocol: messagepack-rpc";

    private final StringBuilder out = new StringBuilder();
    private final Description of;
    private final Map<String, Description> neighbours = new HashMap<>();
    private final Path folder;

    private ConfigGenerator(Description of, List<Description> all, Path folder) {
        this.of = of;
        this.folder = folder;
        all.forEach(d -> neighbours.put(d.name(), d));
    }

    /** {@code all}: the applications of this machine; {@code folder}: where the text will stand, for names of files. */
    static String text(Description of, List<Description> all, Path folder) {
        return new ConfigGenerator(of, all, folder).all();
    }

    private String all() {
        line("version: 1");
        line("name: " + of.name());
        if (of.tenant() != null) {
            line("tenant: " + of.tenant());
        }
        line("limits:");
        line("  memory: " + Units.formatSize(of.limits().memory()));
        line("  descriptors: " + of.limits().descriptors());
        if (of.admin() != null) {
            line("admin: " + quoted(of.admin().toString()));
        }
        if (of.handover() != null) {
            line("handover: " + quoted(relative(of.handover())));
        }
        line("listeners:");
        listener("inbound", of.inbound(), "");
        listener("inbound--rpc", of.inboundRpc(), RPC);
        for (Call call : of.calls().values()) {
            listener("call-" + call.name(), here(call.ports().http()), ", side: outbound");
            listener("call-" + call.name() + "--rpc", here(call.ports().rpc()), RPC + ", side: outbound");
        }
        line("classes:");
        classes("in", of.serves(), of.others());
        for (Call call : of.calls().values()) {
            classes("to-" + call.name(), call.classes(), call.others());
        }
        line("pools:");
        pool("application", of.own(), of.own().servers());
        for (Call call : of.calls().values()) {
            pool("to-" + call.name(), call.pool(), call.application() ? neighbour(call) : call.pool().servers());
        }
        if (of.inbound() != null || of.calls().values().stream().anyMatch(c -> c.ports().http() != 0)) {
            line("routes:");
        }
        routes("in", "inbound", "application", of.serves(), of.others());
        for (Call call : of.calls().values()) {
            routes("to-" + call.name(), "call-" + call.name(), "to-" + call.name(), call.classes(), call.others());
        }
        if (of.inboundRpc() != null || of.calls().values().stream().anyMatch(c -> c.ports().rpc() != 0)) {
            line("procedures:");
        }
        procedures("in", "inbound--rpc", "application", of.serves());
        for (Call call : of.calls().values()) {
            procedures("to-" + call.name(), "call-" + call.name() + "--rpc", "to-" + call.name(), call.classes());
        }
        return out.toString();
    }

    // Names are made unique by `--`, which labels may not hold: a class is `in--look` or `to-records--look`, and the
    // class of all other paths `in` or `to-records`.

    /** An application on this machine is reached through its own node, at its inbound side. */
    private List<Server> neighbour(Call call) {
        Description other = neighbours.get(call.name());
        return List.of(new Server(call.name(), reached(other.inbound()), 1, "", false, reached(other.inboundRpc())));
    }

    private static HostPort reached(HostPort inbound) {
        return inbound != null && inbound.any() ? here(inbound.port()) : inbound;
    }

    private static HostPort here(int port) {
        return port == 0 ? null : new HostPort("127.0.0.1", port);
    }

    private void listener(String name, HostPort address, String more) {
        if (address != null) {
            line("  " + name + ": {address: " + quoted(address.toString()) + more + "}");
        }
    }

    private void procedures(String prefix, String listener, String pool, Map<String, Served> served) {
        served.forEach((name, s) -> {
            for (int i = 0; i < s.procedures().size(); i++) {
                line("  - {name: " + prefix + "--" + name + (i == 0 ? "" : "--" + (i + 1)) + ", listener: " + listener
                    + ", procedure: " + quoted(s.procedures().get(i)) + ", pool: " + pool + ", class: " + prefix + "--" + name
                    + "}");
            }
        });
    }

    private void line(String text) {
        out.append(text).append('\n');
    }

    private static String quoted(String text) {
        return "\"" + text.replace("\\", "\\\\").replace("\"", "\\\"") + "\"";
    }

    private void classes(String prefix, Map<String, Served> served, RequestClass others) {
        served.forEach((name, s) -> requestClass(prefix + "--" + name, s.requestClass()));
        if (others != null) {
            requestClass(prefix, others);
        }
    }

    private void requestClass(String name, RequestClass c) {
        line("  " + name + ":");
        line("    effect: " + c.effect().name().toLowerCase(Locale.ROOT));
        line("    aim: " + Units.formatSpan(c.aim()));
        line("    deadline: " + Units.formatSpan(c.deadline()));
        line("    worth: " + number(c.worth()));
        line("    late-worth: " + number(c.lateWorth()));
        if (c.memory() > 0) {
            line("    memory: " + Units.formatSpan(c.memory()));
        }
        line("    retry: " + c.retry());
    }

    private static String number(double number) {
        return number == Math.rint(number) ? Long.toString((long) number)
            : new java.math.BigDecimal(number).setScale(6, java.math.RoundingMode.HALF_UP).stripTrailingZeros()
                .toPlainString();
    }

    private void pool(String name, Pool pool, List<Server> servers) {
        line("  " + name + ":");
        if (pool.file() != null) {
            line("    file: " + quoted(relative(pool.file())));
        } else if (pool.discovery() != null) {
            line("    discovery: " + quoted(pool.discovery().toString()));
        } else {
            line("    servers:");
            for (Server s : servers) {
                line("      - {id: " + quoted(s.id()) + (s.address() == null ? "" : ", address: " + quoted(s.address().toString()))
                    + (s.rpc() == null ? "" : ", rpc: " + quoted(s.rpc().toString())) + ", weight: "
                    + number(s.weight()) + (s.zone().isEmpty() ? "" : ", zone: " + s.zone())
                    + (s.draining() ? ", state: draining" : "") + "}");
            }
        }
        line("    connect-timeout: " + Units.formatSpan(pool.connectTimeout()));
        line("    keep-alive: " + Units.formatSpan(pool.keepAlive()));
        line("    idle: " + Units.formatSpan(pool.idle()));
        line("    attempts: " + pool.attempts());
        line("    in-flight: " + pool.inFlight());
        line("    body: " + Units.formatSize(pool.body()));
        line("    held: " + Units.formatSize(pool.held()));
        if (servers.stream().anyMatch(s -> s.rpc() != null) || !pool.rpc().equals(Rpc.DEFAULT)) {
            line("    rpc: {connections: " + pool.rpc().connections() + ", calls: " + pool.rpc().calls() + ", envelope: "
                + pool.rpc().envelope() + "}");
        }
    }

    private String relative(Path file) {
        Path to = file.toAbsolutePath().normalize();
        try {
            return folder.toAbsolutePath().normalize().relativize(to).toString();
        } catch (IllegalArgumentException e) {
            return to.toString();
        }
    }

    private void routes(String prefix, String listener, String pool, Map<String, Served> served, RequestClass others) {
        served.forEach((name, s) -> {
            List<String> paths = new ArrayList<>(s.paths());
            for (int i = 0; i < paths.size(); i++) {
                route(prefix + "--" + name + (i == 0 ? "" : "--" + (i + 1)), listener, paths.get(i),
                    s.methods().isEmpty() ? "" : ", methods: [" + String.join(", ", new TreeSet<>(s.methods())) + "]",
                    pool, prefix + "--" + name);
            }
        });
        if (others != null) {
            route(prefix, listener, "/", "", pool, prefix);
        }
    }

    private void route(String name, String listener, String path, String methods, String pool, String requestClass) {
        line("  - {name: " + name + ", listener: " + listener + ", path: " + quoted(path) + methods + ", pool: " + pool
            + ", class: " + requestClass + "}");
    }
}
