package onyxpaddle.config;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import onyxpaddle.config.BgpConfig.Peer;
import onyxpaddle.config.BgpConfig.Service;

/** Reads and validates the section {@code bgp}. */
final class BgpReader {
    private static final long SECOND = 1_000_000_000L;
    private static final int AS_TRANS = 23456;

    private final ConfigView root;
    private final ConfigView at;
    private final Faults faults;

    BgpReader(ConfigView root, Faults faults) {
        this.root = root;
        this.at = root.section("bgp");
        this.faults = faults;
    }

    /** Returns null if the configuration has no such section. */
    BgpConfig read(Set<String> pools) {
        if (!root.has("bgp")) {
            return null;
        }
        byte[] identifier = ip(at, "identifier");
        if (identifier != null && (identifier.length != 4 || toUnsigned(identifier) == 0)) {
            faults.add(at.place("identifier"), at.path("identifier"), "is not a BGP identifier",
                "four octets that are not all zero, written as an IPv4 address");
        }
        HostPort listen = at.address("listen");
        Map<String, Service> addresses = new LinkedHashMap<>();
        at.named("addresses").forEach((name, view) -> addresses.put(name, service(name, view, pools)));
        checkDuplicatePrefixes();
        Map<String, Peer> peers = new LinkedHashMap<>();
        Map<String, String> hosts = new HashMap<>();
        at.named("peers").forEach((name, view) -> {
            Peer peer = peer(name, view, addresses);
            if (peer.address() != null) {
                String other = hosts.putIfAbsent(peer.address().host(), name);
                if (other != null) {
                    faults.add(view.place("address"), view.path("address"), "is also the address of the peer `" + other + "`",
                        "one peer for each router, which has a single session");
                }
                if (listen != null && peer.address().reaches(listen)) {
                    faults.add(view.place("address"), view.path("address"), "is this node's own `bgp.listen`", "the router's address");
                }
            }
            if (peer.passive() && listen == null) {
                faults.add(view.place("passive"), view.path("passive"), "a passive peer needs a listener",
                    "`bgp.listen`, or `passive: false`");
            }
            peers.put(name, peer);
        });
        return new BgpConfig(as(at), identifier == null || identifier.length != 4 ? 0 : toUnsigned(identifier), listen, peers, addresses);
    }

    private static long toUnsigned(byte[] octets) {
        long number = 0;
        for (int i = 0; i < 4; i++) {
            number = number << 8 | octets[i] & 0xff;
        }
        return number;
    }

    private static byte[] ip(ConfigView view, String key) {
        String text = view.text(key, Schema.Kind.IP, null);
        return text == null ? null : Ip.parse(text);
    }

    /** Refuses reserved AS numbers: RFC 7607, 6793 and 7300, and RFC 5398 for those of documentation. */
    private long as(ConfigView view) {
        String text = view.text("as", Schema.Kind.COUNT, "0");
        long as = Long.parseLong(text);
        boolean documentation = as >= 64496 && as <= 64511 || as >= 65536 && as <= 65551;
        if (as == AS_TRANS || as == 65535 || as == 4294967295L || documentation) {
            faults.add(view.place("as"), view.path("as"), as + " is reserved" + (documentation ? " for documentation" : ""),
                "your own number, or one for private use: 64512 to 65534, 4200000000 to 4294967294");
        }
        return as;
    }

    private Peer peer(String name, ConfigView view, Map<String, Service> addresses) {
        long hold = view.span("hold-time", 30 * SECOND);
        if (hold > 0 && hold < 3 * SECOND || hold % SECOND != 0) {
            faults.add(view.place("hold-time"), view.path("hold-time"), "is not a valid hold time: " + Units.formatSpan(hold),
                "0 s for none, or whole seconds from 3 s on (RFC 4271, 4.2)");
        }
        String local = view.text("local", Schema.Kind.IP, null);
        String nextHop4 = view.text("next-hop", Schema.Kind.IP, local);
        String nextHop6 = view.text("next-hop-6", Schema.Kind.IP, null);
        boolean announcesIpv4 = addresses.values().stream().anyMatch(a -> a.prefixes().stream().anyMatch(p -> !p.contains(":")));
        boolean announcesIpv6 = addresses.values().stream().anyMatch(a -> a.prefixes().stream().anyMatch(p -> p.contains(":")));
        if (announcesIpv4 && (nextHop4 == null || nextHop4.contains(":"))) {
            faults.add(view.place("next-hop"), view.path("next-hop"), "IPv4 prefixes are announced without an IPv4 next hop",
                "`next-hop:` with this node's address as the router reaches it");
        }
        if (nextHop6 != null && !nextHop6.contains(":")) {
            faults.add(view.place("next-hop-6"), view.path("next-hop-6"), "is not an IPv6 address", "this node's IPv6 address");
        }
        if (announcesIpv6 && !announcesIpv4 && nextHop6 == null) {
            faults.add(view.place("next-hop-6"), view.path("next-hop-6"),
                "only IPv6 prefixes are announced, and the peer has no IPv6 next hop",
                "`next-hop-6:` with this node's IPv6 address");
        }
        return new Peer(name, view.address("address"), as(view), local, nextHop4, nextHop6, (int) (hold / SECOND),
            view.flag("passive", false), view.count("most-prefixes", 10_000), view.span("connect-retry", 30 * SECOND));
    }

    private Service service(String name, ConfigView view, Set<String> pools) {
        List<String> poolNames = view.texts("pools", Schema.Kind.NAME);
        for (String pool : poolNames) {
            if (!pools.contains(pool)) {
                String near = SpellingSuggestions.nearest(pool, List.copyOf(pools));
                faults.add(view.place("pools"), view.path("pools"), "there is no pool `" + pool + "`",
                    near != null ? "did you mean `" + near + "`?" : "one of " + String.join(", ", pools));
            }
        }
        double degraded = view.number("degraded-below", 0.9);
        double down = view.number("down-below", 0.3);
        if (down > degraded) {
            faults.add(view.place("down-below"), view.path("down-below"),
                "is above `degraded-below`: a pool would be down before it is degraded",
                "at most `degraded-below`");
        }
        long initial = view.span("hold-down", 5 * SECOND);
        long most = view.span("most-hold-down", Math.max(initial, 300 * SECOND));
        if (most < initial) {
            faults.add(view.place("most-hold-down"), view.path("most-hold-down"), "is less than `hold-down`", "at least `hold-down`");
        }
        return new Service(name, view.texts("prefixes", Schema.Kind.PREFIX), poolNames,
            view.word("needs", "all", "all", "any").equals("any"),
            view.word("degraded", "deprioritise", "deprioritise", "withdraw").equals("withdraw"), view.flag("last", false),
            longValue(view, "med"), longValue(view, "degraded-med"), communities(view, "communities"),
            communities(view, "degraded-communities"),
            view.count("prepend", 3), initial, most, view.count("per-minute", 6), degraded, down, view.span("dwell", 5 * SECOND));
    }

    private static Long longValue(ConfigView view, String key) {
        String text = view.text(key, Schema.Kind.COUNT, null);
        return text == null ? null : Long.valueOf(text);
    }

    private static List<Integer> communities(ConfigView view, String key) {
        List<Integer> all = new ArrayList<>();
        view.texts(key, Schema.Kind.COMMUNITY).forEach(text -> all.add(Ip.community(text)));
        return all;
    }

    /** Adds a fault for each prefix that several services announce. */
    private void checkDuplicatePrefixes() {
        Map<String, String> first = new HashMap<>();
        at.named("addresses").forEach((name, view) -> {
            for (String prefix : view.texts("prefixes", Schema.Kind.PREFIX)) {
                Ip.Range range = Ip.prefix(prefix);
                String other = first.putIfAbsent(java.util.Arrays.toString(range.address()) + range.bits(), name);
                if (other != null) {
                    faults.add(view.place("prefixes"), view.path("prefixes"), prefix + " is also announced for `" + other + "`",
                        "each prefix for one service");
                }
            }
        });
    }
}
