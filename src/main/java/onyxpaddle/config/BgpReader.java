package onyxpaddle.config;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import onyxpaddle.config.BgpConfig.Peer;
import onyxpaddle.config.BgpConfig.Service;

/** Reads the section {@code bgp}, and finds all that is wrong with it. */
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

    /** Null where there is no such section. */
    BgpConfig all(Set<String> pools) {
        if (!root.has("bgp")) {
            return null;
        }
        byte[] identifier = ip(at, "identifier");
        if (identifier != null && (identifier.length != 4 || number(identifier) == 0)) {
            faults.add(at.place("identifier"), at.path("identifier"), "is no identifier", "four octets that are not all zero, written as an IPv4 address");
        }
        HostPort listen = at.address("listen");
        Map<String, Service> addresses = new LinkedHashMap<>();
        at.named("addresses").forEach((name, view) -> addresses.put(name, service(name, view, pools)));
        twice();
        Map<String, Peer> peers = new LinkedHashMap<>();
        Map<String, String> hosts = new HashMap<>();
        at.named("peers").forEach((name, view) -> {
            Peer peer = peer(name, view, addresses);
            if (peer.address() != null) {
                String other = hosts.putIfAbsent(peer.address().host(), name);
                if (other != null) {
                    faults.add(view.place("address"), view.path("address"), "is the peer `" + other + "` too", "each router once: it has one session");
                }
                if (listen != null && peer.address().reaches(listen)) {
                    faults.add(view.place("address"), view.path("address"), "is this node's own `bgp.listen`", "the router's address");
                }
            }
            if (peer.passive() && listen == null) {
                faults.add(view.place("passive"), view.path("passive"), "is waited for where nothing listens", "`bgp.listen`, or `passive: false`");
            }
            peers.put(name, peer);
        });
        return new BgpConfig(as(at), identifier == null || identifier.length != 4 ? 0 : number(identifier), listen, peers, addresses);
    }

    private static long number(byte[] octets) {
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

    /** RFC 7607, 6793, 7300, and 5398 for documentation. */
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
            faults.add(view.place("hold-time"), view.path("hold-time"), "is no hold time: " + Units.formatSpan(hold),
                "0 s for none, or whole seconds from 3 s on (RFC 4271, 4.2)");
        }
        String local = view.text("local", Schema.Kind.IP, null);
        String hop4 = view.text("next-hop", Schema.Kind.IP, local);
        String hop6 = view.text("next-hop-6", Schema.Kind.IP, null);
        boolean four = addresses.values().stream().anyMatch(a -> a.prefixes().stream().anyMatch(p -> !p.contains(":")));
        boolean six = addresses.values().stream().anyMatch(a -> a.prefixes().stream().anyMatch(p -> p.contains(":")));
        if (four && (hop4 == null || hop4.contains(":"))) {
            faults.add(view.place("next-hop"), view.path("next-hop"), "IPv4 prefixes are announced, and no IPv4 address says where to send to",
                "`next-hop:` with this node's address as the router reaches it");
        }
        if (hop6 != null && !hop6.contains(":")) {
            faults.add(view.place("next-hop-6"), view.path("next-hop-6"), "is no IPv6 address", "this node's IPv6 address");
        }
        if (six && !four && hop6 == null) {
            faults.add(view.place("next-hop-6"), view.path("next-hop-6"), "IPv6 prefixes alone are announced, and it gets none",
                "`next-hop-6:` with this node's IPv6 address");
        }
        return new Peer(name, view.address("address"), as(view), local, hop4, hop6, (int) (hold / SECOND), view.flag("passive", false),
            view.count("most-prefixes", 10_000), view.span("connect-retry", 30 * SECOND));
    }

    private Service service(String name, ConfigView view, Set<String> pools) {
        List<String> named = view.texts("pools", Schema.Kind.NAME);
        for (String pool : named) {
            if (!pools.contains(pool)) {
                String near = SpellingSuggestions.nearest(pool, List.copyOf(pools));
                faults.add(view.place("pools"), view.path("pools"), "there is no pool `" + pool + "`",
                    near != null ? "did you mean `" + near + "`?" : "one of " + String.join(", ", pools));
            }
        }
        double degraded = view.number("degraded-below", 0.9);
        double down = view.number("down-below", 0.3);
        if (down > degraded) {
            faults.add(view.place("down-below"), view.path("down-below"), "a pool would be down before it is degraded",
                "no more than `degraded-below`");
        }
        long first = view.span("hold-down", 5 * SECOND);
        long most = view.span("most-hold-down", Math.max(first, 300 * SECOND));
        if (most < first) {
            faults.add(view.place("most-hold-down"), view.path("most-hold-down"), "is less than `hold-down`", "at least that");
        }
        return new Service(name, view.texts("prefixes", Schema.Kind.PREFIX), named, view.word("needs", "all", "all", "any").equals("any"),
            view.word("degraded", "deprioritise", "deprioritise", "withdraw").equals("withdraw"), view.flag("last", false),
            whole(view, "med"), whole(view, "degraded-med"), communities(view, "communities"), communities(view, "degraded-communities"),
            view.count("prepend", 3), first, most, view.count("per-minute", 6), degraded, down, view.span("dwell", 5 * SECOND));
    }

    private static Long whole(ConfigView view, String key) {
        String text = view.text(key, Schema.Kind.COUNT, null);
        return text == null ? null : Long.valueOf(text);
    }

    private static List<Integer> communities(ConfigView view, String key) {
        List<Integer> all = new ArrayList<>();
        view.texts(key, Schema.Kind.COMMUNITY).forEach(text -> all.add(Ip.community(text)));
        return all;
    }

    /** A prefix stands for one service. */
    private void twice() {
        Map<String, String> first = new HashMap<>();
        at.named("addresses").forEach((name, view) -> {
            for (String prefix : view.texts("prefixes", Schema.Kind.PREFIX)) {
                Ip.Range range = Ip.prefix(prefix);
                String other = first.putIfAbsent(java.util.Arrays.toString(range.address()) + range.bits(), name);
                if (other != null) {
                    faults.add(view.place("prefixes"), view.path("prefixes"), prefix + " is announced for `" + other + "` too",
                        "each prefix once: it comes and goes with one service");
                }
            }
        });
    }
}
