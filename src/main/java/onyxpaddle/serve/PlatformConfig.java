package onyxpaddle.serve;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import onyxpaddle.BalancerApi.Settings;
import onyxpaddle.FlatSettings;
import onyxpaddle.membership.RosterJson;
import onyxpaddle.node.Addresses;
import onyxpaddle.node.ServerList;

/**
 * The configuration of a platform node: the environment and the file that {@code GW_CONFIG} names. {@code admin}: null for no admin
 * listener; {@code memoryBytes}: 0 for no limit.
 */
record PlatformConfig(String name, InetSocketAddress listen, InetSocketAddress admin, InetSocketAddress discovery, long seed, int sockets,
        long memoryBytes, ServerList known, Settings settings, long keepalive) {
    private static final double MAX_MEMORY_MB = 1e9;
    private static final long BYTES_PER_MB = 1L << 20;
    private static final long DEFAULT_KEEPALIVE = 5_000_000_000L;

    /** A setting is missing or invalid; the message is one line and names the setting. */
    static final class InvalidConfigException extends Exception {
        private static final long serialVersionUID = 1L;

        InvalidConfigException(String message) {
            super(message.lines().findFirst().orElse("") );
        }
    }

    /** Loads after SIGHUP: the environment dates from the start of the process, so the file's discovery address takes precedence. */
    static PlatformConfig reload(Map<String, String> environment) throws InvalidConfigException {
        Map<String, String> remaining = new HashMap<>(environment);
        remaining.remove("GW_DISCOVERY");
        return load(remaining);
    }

    static PlatformConfig load(Map<String, String> environment) throws InvalidConfigException {
        String file = environment.get("GW_CONFIG");
        if (file == null || file.isEmpty()) {
            throw new InvalidConfigException("GW_CONFIG is not set");
        }
        byte[] json;
        try {
            json = Files.readAllBytes(Path.of(file));
        } catch (IOException | java.nio.file.InvalidPathException e) {
            throw new InvalidConfigException("GW_CONFIG: cannot read " + file + ": " + e);
        }
        return parse(json, environment);
    }

    /** Name and addresses in the environment take precedence over the same keys in the file. */
    static PlatformConfig parse(byte[] json, Map<String, String> environment) throws InvalidConfigException {
        Map<String, String> flat = new HashMap<>();
        ServerList known = new ServerList(0, true, List.of());
        try (JsonParser p = RosterJson.JSON.createParser(json)) {
            if (p.nextToken() != JsonToken.START_OBJECT) {
                throw new InvalidConfigException("GW_CONFIG: not a JSON object");
            }
            while (p.nextToken() != JsonToken.END_OBJECT) {
                String name = p.currentName();
                p.nextToken();
                if (name.equals("known") && p.currentToken() == JsonToken.START_OBJECT) {
                    known = RosterJson.read(p).list();
                } else {
                    flatten(p, name, flat);
                }
            }
        } catch (IOException e) {
            throw new InvalidConfigException("GW_CONFIG: " + e.getMessage());
        }
        environment.forEach((variable, value) -> {
            if (variable.startsWith("GW_") && !value.isEmpty()) {
                flat.put(variable.substring(3).toLowerCase(java.util.Locale.ROOT), value);
            }
        });
        Map<String, String> pairs = new HashMap<>();
        flat.forEach((path, value) -> {
            if (path.startsWith("settings.")) {
                pairs.put(path.substring("settings.".length()), value);
            }
        });
        if (pairs.isEmpty()) {
            throw new InvalidConfigException("settings: missing");
        }
        try {
            FlatSettings settings = new FlatSettings(pairs);
            long keepalive = settings.span("limits.keepaliveS");
            return new PlatformConfig(flat.getOrDefault("name", ""), address(flat, "listen"),
                flat.containsKey("admin") ? address(flat, "admin") : null, address(flat, "discovery"), seed(flat), sockets(flat),
                memoryBytes(flat), known, settings.settings(),
                keepalive > 0 ? keepalive : DEFAULT_KEEPALIVE);
        } catch (IllegalArgumentException e) {
            throw new InvalidConfigException("settings: " + e.getMessage());
        }
    }

    private static InetSocketAddress address(Map<String, String> flat, String name) throws InvalidConfigException {
        String text = flat.getOrDefault(name, "");
        try {
            return Addresses.parse(text);
        } catch (IOException e) {
            throw new InvalidConfigException(name + ": " + (text.isEmpty() ? "missing" : e.getMessage()));
        }
    }

    private static long seed(Map<String, String> flat) throws InvalidConfigException {
        try {
            return Long.parseUnsignedLong(flat.getOrDefault("seed", ""), 16);
        } catch (NumberFormatException e) {
            throw new InvalidConfigException("seed: not 16 hex digits: " + flat.getOrDefault("seed", "missing"));
        }
    }

    private static long memoryBytes(Map<String, String> flat) throws InvalidConfigException {
        String text = flat.get("limits.memory_mb");
        if (text == null) {
            return 0;
        }
        try {
            double megabytes = Double.parseDouble(text);
            if (megabytes > 0 && megabytes < MAX_MEMORY_MB) {
                return (long) (megabytes * BYTES_PER_MB);
            }
        } catch (NumberFormatException e) {
            // Reported below, like a number that is out of range.
        }
        throw new InvalidConfigException("limits.memory_mb: not a number above 0: " + text);
    }

    private static int sockets(Map<String, String> flat) throws InvalidConfigException {
        String text = flat.getOrDefault("limits.sockets", "");
        try {
            int sockets = (int) Double.parseDouble(text);
            if (sockets >= 100) {
                return sockets;
            }
        } catch (NumberFormatException e) {
            // Reported below, like a number that is too small.
        }
        throw new InvalidConfigException("limits.sockets: not a number of at least 100: "
            + (text.isEmpty() ? "missing" : text));
    }

    /**
     * Flattens the parser's current value into paths, in the form of the simulator's wire protocol: lists of scalars are joined by
     * commas, lists of objects give {@code .count} and numbered items.
     */
    private static void flatten(JsonParser p, String path, Map<String, String> flat) throws IOException {
        switch (p.currentToken()) {
            case START_OBJECT -> {
                while (p.nextToken() != JsonToken.END_OBJECT) {
                    String name = p.currentName();
                    p.nextToken();
                    flatten(p, path + "." + name, flat);
                }
            }
            case START_ARRAY -> {
                StringBuilder scalars = new StringBuilder();
                int count = 0;
                boolean objects = false;
                while (p.nextToken() != JsonToken.END_ARRAY) {
                    if (p.currentToken().isScalarValue()) {
                        scalars.append(count == 0 ? "" : ",").append(p.getText().replace(',', '_'));
                    } else {
                        objects = true;
                        flatten(p, path + "." + count, flat);
                    }
                    count++;
                }
                if (objects) {
                    flat.put(path + ".count", Integer.toString(count));
                } else {
                    flat.put(path, scalars.toString());
                }
            }
            case VALUE_NULL -> { }
            default -> flat.put(path, p.getText());
        }
    }
}
