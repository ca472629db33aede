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
        required("address", plain(Kind.ADDRESS), "where the router listens; it may dial from there, too"),
        required("as", bounded(Kind.COUNT, 1, LARGEST), "its number; the node's own for internal BGP"),
        optional("local", plain(Kind.IP), "whatever the system takes", "the address to dial it from"),
        optional("next-hop", plain(Kind.IP), "`local`", "what IPv4 routes to it name"),
        optional("next-hop-6", plain(Kind.IP), "none: no IPv6 routes", "what IPv6 routes to it name"),
        optional("hold-time", bounded(Kind.SPAN, 0, 65535 * S), "30 s",
            "after which a silent session is given up; 0 s, or at least 3 s. The lower one of both sides holds"),
        optional("passive", plain(Kind.FLAG), "false", "whether it is waited for, not dialled"),
        optional("most-prefixes", bounded(Kind.COUNT, 1, 10_000_000), "10000", "that it may announce before its session is ended"),
        optional("connect-retry", bounded(Kind.SPAN, S, 3600 * S), "30 s", "after which dialling is tried anew"));

    private static final Section ADDRESS = section(
        required("prefixes", listOf(plain(Kind.PREFIX)), "what is announced"),
        required("pools", listOf(plain(Kind.NAME)), "the pools that it stands for"),
        optional("needs", word("all", "any"), "all", "whether all of the pools must serve, or any"),
        optional("degraded", word("deprioritise", "withdraw"), "deprioritise", "what is done while it serves badly"),
        optional("last", plain(Kind.FLAG), "false", "never withdrawn for serving badly alone, as no other node announces it"),
        optional("med", bounded(Kind.COUNT, 0, LARGEST), "none", "MULTI_EXIT_DISC"),
        optional("degraded-med", bounded(Kind.COUNT, 0, LARGEST), "none", "the same while it serves badly"),
        optional("communities", listOf(plain(Kind.COMMUNITY)), "none", "on each route"),
        optional("degraded-communities", listOf(plain(Kind.COMMUNITY)), "none", "besides, while it serves badly"),
        optional("prepend", bounded(Kind.COUNT, 0, 10), "3", "how often the own number is put before the path while the node drains"),
        optional("hold-down", bounded(Kind.SPAN, S, 3600 * S), "5 s", "after a withdrawal, before it is announced again; doubles"),
        optional("most-hold-down", bounded(Kind.SPAN, S, 3600 * S), "5 min", "to at most this"),
        optional("per-minute", bounded(Kind.COUNT, 1, 600), "6", "announcements and changes a minute; withdrawals are free"),
        optional("degraded-below", bounded(Kind.NUMBER, 0, 1), "0.9", "the share served under which a pool serves badly"),
        optional("down-below", bounded(Kind.NUMBER, 0, 1), "0.3", "the share served under which it counts as down"),
        optional("dwell", bounded(Kind.SPAN, 0, 3600 * S), "5 s", "the least time in a state before a better one"));

    static final Key BGP = optional("bgp", section(
        required("as", bounded(Kind.COUNT, 1, LARGEST), "the node's number"),
        required("identifier", plain(Kind.IP), "its BGP identifier, written as an IPv4 address"),
        optional("listen", plain(Kind.ADDRESS), "none", "where peers may connect"),
        required("peers", new MapOf(Kind.NAME, PEER, false), "the routers that it tells"),
        required("addresses", new MapOf(Kind.NAME, ADDRESS, false), "what it announces")), "off",
        "which service addresses are announced by BGP, to whom, and while which pools serve");

    private BgpSchema() {
    }
}
