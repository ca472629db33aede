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
 * Generates the text of a node's configuration from a valid description. The output is deterministic: the same descriptions
 * give the same bytes. Defaults are written out, so that people who read the configuration see the effective values.
 */
final class ConfigGenerator {
    private static final String RPC_PROTOCOL = ", protocol: messagepack-rpc";

    private final StringBuilder out = new StringBuilder();
    private final Description description;
    private final Map<String, Description> applications = new HashMap<>();
    private final Path folder;

    private ConfigGenerator(Description description, List<Description> all, Path folder) {
        this.description = description;
        this.folder = folder;
        all.forEach(d -> applications.put(d.name(), d));
    }

    /**
     * @param all the applications of this machine
     * @param folder the folder of the generated file, which file names in it are relative to
     */
    static String generate(Description description, List<Description> all, Path folder) {
        return new ConfigGenerator(description, all, folder).generate();
    }

    private String generate() {
        line("version: 1");
        line("name: " + description.name());
        if (description.tenant() != null) {
            line("tenant: " + description.tenant());
        }
        line("limits:");
        line("  memory: " + Units.formatSize(description.limits().memory()));
        line("  descriptors: " + description.limits().descriptors());
        if (description.admin() != null) {
            line("admin: " + quoted(description.admin().toString()));
        }
        if (description.handover() != null) {
            line("handover: " + quoted(relativePath(description.handover())));
        }
        line("listeners:");
        listener("inbound", description.inbound(), "");
        listener("inbound--rpc", description.inboundRpc(), RPC_PROTOCOL);
        for (Call call : description.calls().values()) {
            listener("call-" + call.name(), loopback(call.ports().http()), ", side: outbound");
            listener("call-" + call.name() + "--rpc", loopback(call.ports().rpc()), RPC_PROTOCOL + ", side: outbound");
        }
        line("classes:");
        classes("in", description.serves(), description.others());
        for (Call call : description.calls().values()) {
            classes("to-" + call.name(), call.classes(), call.others());
        }
        line("pools:");
        pool("application", description.own(), description.own().servers());
        for (Call call : description.calls().values()) {
            pool("to-" + call.name(), call.pool(), call.application() ? localApplication(call) : call.pool().servers());
        }
        if (description.inbound() != null || description.calls().values().stream().anyMatch(c -> c.ports().http() != 0)) {
            line("routes:");
        }
        routes("in", "inbound", "application", description.serves(), description.others());
        for (Call call : description.calls().values()) {
            routes("to-" + call.name(), "call-" + call.name(), "to-" + call.name(), call.classes(), call.others());
        }
        if (description.inboundRpc() != null || description.calls().values().stream().anyMatch(c -> c.ports().rpc() != 0)) {
            line("procedures:");
        }
        procedures("in", "inbound--rpc", "application", description.serves());
        for (Call call : description.calls().values()) {
            procedures("to-" + call.name(), "call-" + call.name() + "--rpc", "to-" + call.name(), call.classes());
        }
        return out.toString();
    }

    // `--` keeps generated names unique, as labels must not contain it: a class is named `in--look` or `to-records--look`, and
    // the class of all other paths `in` or `to-records`.

    /** The single server for calls to an application on this machine: the inbound listeners of its node. */
    private List<Server> localApplication(Call call) {
        Description other = applications.get(call.name());
        return List.of(new Server(call.name(), connectAddress(other.inbound()), 1, "", false, connectAddress(other.inboundRpc())));
    }

    private static HostPort connectAddress(HostPort inbound) {
        return inbound != null && inbound.any() ? loopback(inbound.port()) : inbound;
    }

    private static HostPort loopback(int port) {
        return port == 0 ? null : new HostPort("127.0.0.1", port);
    }

    private void listener(String name, HostPort address, String options) {
        if (address != null) {
            line("  " + name + ": {address: " + quoted(address.toString()) + options + "}");
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
            line("    file: " + quoted(relativePath(pool.file())));
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

    private String relativePath(Path file) {
        Path target = file.toAbsolutePath().normalize();
        try {
            return folder.toAbsolutePath().normalize().relativize(target).toString();
        } catch (IllegalArgumentException e) {
            return target.toString();
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
