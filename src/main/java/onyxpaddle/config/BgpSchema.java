package onyxpaddle.config;

import static onyxpaddle.config.Schema.optional;
import static onyxpaddle.config.Schema.plain;
import static onyxpaddle.config.Schema.required;
import static onyxpaddle.config.Schema.section;
import static onyxpaddle.config.Schema.listOf;
import static onyxpaddle.config.Schema.bounded;
import static onyxpaddle.config.Schema.word;

import onyxpaddle.config.Schema.Key;
import onyxpaddle.config.Schema.Kind;
import onyxpaddle.config.Schema.MapOf;
import onyxpaddle.config.Schema.Section;

/** The keys of the section {@code bgp}. */
final class BgpSchema {
    private static final double LARGEST = 4294967295.0;
    private static final double S = NodeSchema.S;

    private static final Section PEER = section(
        required("address", plain(Kind.ADDRESS), "where the router listens; it may also connect from that IP address"),
        required("as", bounded(Kind.COUNT, 1, LARGEST), "the peer's AS number; the node's own one for internal BGP"),
        optional("local", plain(Kind.IP), "chosen by the system", "the source address of connections to the router"),
        optional("next-hop", plain(Kind.IP), "`local`", "the next hop of IPv4 routes"),
        optional("next-hop-6", plain(Kind.IP), "none: no IPv6 routes", "the next hop of IPv6 routes"),
        optional("hold-time", bounded(Kind.SPAN, 0, 65535 * S), "30 s",
            "time without a message after which the session is closed; 0 s, or at least 3 s. The lower value of both sides applies"),
        optional("passive", plain(Kind.FLAG), "false", "whether the node waits for the router to connect"),
        optional("most-prefixes", bounded(Kind.COUNT, 1, 10_000_000), "10000",
            "prefixes that the peer may announce before its session is closed"),
        optional("connect-retry", bounded(Kind.SPAN, S, 3600 * S), "30 s", "time between connection attempts"));

    private static final Section ADDRESS = section(
        required("prefixes", listOf(plain(Kind.PREFIX)), "the prefixes to announce"),
        required("pools", listOf(plain(Kind.NAME)), "the pools whose state decides whether it is announced"),
        optional("needs", word("all", "any"), "all", "whether all of the pools must be up, or any"),
        optional("degraded", word("deprioritise", "withdraw"), "deprioritise", "what happens to its routes while it is degraded"),
        optional("last", plain(Kind.FLAG), "false", "never withdrawn for being degraded alone, as no other node announces it"),
        optional("med", bounded(Kind.COUNT, 0, LARGEST), "none", "MULTI_EXIT_DISC"),
        optional("degraded-med", bounded(Kind.COUNT, 0, LARGEST), "none", "MULTI_EXIT_DISC while it is degraded"),
        optional("communities", listOf(plain(Kind.COMMUNITY)), "none", "communities of each route"),
        optional("degraded-communities", listOf(plain(Kind.COMMUNITY)), "none", "further communities while it is degraded"),
        optional("prepend", bounded(Kind.COUNT, 0, 10), "3",
            "how many times the node's AS number is prepended to AS_PATH while the node drains"),
        optional("hold-down", bounded(Kind.SPAN, S, 3600 * S), "5 s", "delay between a withdrawal and the next announcement; doubles"),
        optional("most-hold-down", bounded(Kind.SPAN, S, 3600 * S), "5 min", "the limit of `hold-down` as it doubles"),
        optional("per-minute", bounded(Kind.COUNT, 1, 600), "6", "announcements and changes a minute; withdrawals do not count"),
        optional("degraded-below", bounded(Kind.NUMBER, 0, 1), "0.9", "the share of served requests below which a pool is degraded"),
        optional("down-below", bounded(Kind.NUMBER, 0, 1), "0.3", "the share of served requests below which a pool is down"),
        optional("dwell", bounded(Kind.SPAN, 0, 3600 * S), "5 s", "the minimum time in a state before a better one"));

    static final Key BGP = optional("bgp", section(
        required("as", bounded(Kind.COUNT, 1, LARGEST), "the node's AS number"),
        required("identifier", plain(Kind.IP), "its BGP identifier, written as an IPv4 address"),
        optional("listen", plain(Kind.ADDRESS), "none", "where peers may connect"),
        required("peers", new MapOf(Kind.NAME, PEER, false), "the routers that routes are announced to"),
        required("addresses", new MapOf(Kind.NAME, ADDRESS, false), "the service addresses to announce")), "off",
        "which service addresses are announced by BGP, to which routers, and depending on which pools");

    private BgpSchema() {
    }
}
