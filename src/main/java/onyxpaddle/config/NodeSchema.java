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
import onyxpaddle.config.Schema.ListOf;
import onyxpaddle.config.Schema.MapOf;
import onyxpaddle.config.Schema.Section;
import onyxpaddle.config.Schema.ScalarOrSection;

/** The keys of a node's configuration and of a list file, and those that descriptions share with them. */
public final class NodeSchema {
    public static final double MS = 1e6;
    public static final double S = 1e9;
    private static final double KIB = 1024;
    private static final double MIB = 1024 * KIB;

    public static final Key BODY = optional("body", bounded(Kind.SIZE, 1, 1024 * 1024 * MIB), "1 MiB",
        "the most that the body of a request or of an answer may have; by MessagePack-RPC it is held whole, within `memory`");
    public static final Key HELD = optional("held", bounded(Kind.SIZE, 0, 64 * MIB), "1 MiB",
        "how much of a request's body is held until it is whole; a larger one is passed on as it comes, and tried again only"
            + " until a part of it that is not held has gone");
    public static final Key IN_FLIGHT = optional("in-flight", bounded(Kind.COUNT, 0, 100_000), "0",
        "how many requests may be taken and not yet answered before more are refused at once; 0: no such limit");
    public static final Key ATTEMPTS = optional("attempts", bounded(Kind.COUNT, 1, 20), "3",
        "how many times one request may be sent, where its effect allows more than once");
    public static final Key CONNECT_TIMEOUT = optional("connect-timeout", bounded(Kind.SPAN, MS, 60 * S), "250 ms",
        "after which a server that has not taken a connection counts as out of reach");
    public static final Key KEEP_ALIVE = optional("keep-alive", bounded(Kind.SPAN, 10 * MS, 3600 * S), "5 s",
        "after which the servers close connections that stand idle; say less than they do");
    public static final Key IDLE = optional("idle", bounded(Kind.SPAN, 10 * MS, 3600 * S), "0.7 of `keep-alive`",
        "how long an idle connection is kept to be used again; must be under `keep-alive`");
    public static final Key MEMORY = optional("memory", bounded(Kind.SIZE, 16 * MIB, 1024 * 1024 * MIB), "64 MiB",
        "the node's heap; bodies get half of it, and each pool a guaranteed part of that");
    public static final Key DESCRIPTORS = optional("descriptors", bounded(Kind.COUNT, 100, 10_000_000), "1024",
        "the most file descriptors the node may hold; clients and pools share them");
    public static final Key EFFECT = required("effect", word("safe", "keyed", "unsafe"),
        "what a repeat does: `safe`: no harm; `keyed`: the servers drop repeats of an Idempotency-Key; `unsafe`: harm");
    public static final Key AIM = optional("aim", bounded(Kind.SPAN, MS, 3600 * S), "the deadline",
        "within which an answer has its full worth");
    public static final Key DEADLINE = required("deadline", bounded(Kind.SPAN, MS, 3600 * S),
        "how long a caller waits, in all; a shorter X-Expires-In (seconds) of a caller goes before it");
    public static final Key WORTH = optional("worth", bounded(Kind.NUMBER, 0, 1e6), "1",
        "what an answer is worth, against other classes");
    public static final Key LATE_WORTH = optional("late-worth", bounded(Kind.NUMBER, 0, 1), "0",
        "the part of the worth that an answer after its aim still has");
    public static final Key KEY_MEMORY = optional("memory", bounded(Kind.SPAN, 0, 86400 * S), "0 ms",
        "for `keyed`: how long the servers remember a key, counted from the first attempt that may have run");
    public static final Key RETRY = optional("retry", plain(Kind.FLAG), "true unless `unsafe`",
        "whether a request that may have run is sent again; what never ran always may be");

    public static final Key ADMIN = optional("admin", plain(Kind.ADDRESS), "no door",
        "where operators call: `/ready`, `/metrics`, `/servers`, `/drain`, `/undrain`; one address, never all of them");
    public static final Key HANDOVER = optional("handover", plain(Kind.TEXT), "none",
        "a folder in which processes of this node meet, so that a second one takes the first one's place; relative to this file");

    private static final Section CLASS = section(EFFECT, AIM, DEADLINE, WORTH, LATE_WORTH, KEY_MEMORY, RETRY);

    private static final Section SERVER = section(
        optional("id", plain(Kind.TEXT), "the address", "the same for as long as it is the same server"),
        optional("address", plain(Kind.ADDRESS), "none", "where it listens for HTTP"),
        optional("rpc", plain(Kind.ADDRESS), "none", "where it listens for MessagePack-RPC"),
        optional("weight", bounded(Kind.NUMBER, 0.001, 1e6), "1", "its size against the other servers"),
        optional("zone", plain(Kind.NAME), "none", "where it stands"),
        optional("state", word("ready", "draining"), "ready", "`draining`: finishes what it has, gets nothing new"));

    /** Servers by address, or with more to say. */
    public static final ListOf SERVERS = listOf(new ScalarOrSection(plain(Kind.ADDRESS), SERVER));

    public static final Key FILE = optional("file", plain(Kind.TEXT), "none",
        "a list file that is watched for change, relative to this file");
    public static final Key DISCOVERY = optional("discovery", plain(Kind.ADDRESS), "none",
        "a discovery service that tells the servers (GET /v1/endpoints)");
    public static final Key SERVER_LIST = optional("servers", SERVERS, "none", "the servers, where they are fixed");

    /** A list file. */
    public static final Section LIST_FILE = section(required("servers", SERVERS, "all servers there are"),
        optional("count", bounded(Kind.COUNT, 1, 10_000), "not checked",
            "how many servers the list names: a file cut short is then found out"));

    /** How a pool's servers are called by MessagePack-RPC. */
    public static final Key RPC = optional("rpc", section(
        optional("connections", bounded(Kind.COUNT, 1, 64), "4", "the most connections to one server"),
        optional("calls", bounded(Kind.COUNT, 1, 10_000), "256", "the most calls at once on a connection"),
        optional("envelope", plain(Kind.FLAG), "false",
            "whether servers are told of key, tenant and time left in an envelope as callers use it")),
        "see its keys", "how its servers are called by MessagePack-RPC");

    private static final Section POOL = section(SERVER_LIST, FILE, DISCOVERY, CONNECT_TIMEOUT, KEEP_ALIVE, IDLE,
        ATTEMPTS, IN_FLIGHT, BODY, HELD, RPC,
        optional("cold", bounded(Kind.SPAN, 0, 3600 * S), "0 ms", "how long a server that has just started is cold"),
        optional("start-capacity", bounded(Kind.NUMBER, 0.01, 1), "1", "the part of its capacity it starts with"));

    /** What a class says, in a description as in a configuration. */
    public static final Section CLASS_KEYS = CLASS;

    private static final Section LISTENER = section(
        required("address", plain(Kind.ADDRESS), "where callers connect"),
        optional("protocol", word("http", "messagepack-rpc"), "http", "what callers speak"),
        optional("open-calls", bounded(Kind.COUNT, 1, 10_000), "256",
            "for `messagepack-rpc`: the most calls at once on one connection; beyond, it is not read"),
        optional("side", word("inbound", "outbound"), "inbound",
            "`outbound`: for what the application itself calls; it serves on until the inbound ones have drained"),
        optional("idle", bounded(Kind.SPAN, 100 * MS, 3600 * S), "60 s",
            "how long a caller's connection may stay open between requests"));

    private static final Section ROUTE = section(
        required("name", plain(Kind.NAME), "what people call it"),
        required("listener", plain(Kind.NAME), "the listener it belongs to"),
        optional("host", plain(Kind.HOST), "any", "the host asked for, `*.` before it for all below"),
        required("path", plain(Kind.PATH), "the start of the path, by whole segments"),
        optional("methods", listOf(plain(Kind.METHOD)), "any", "the methods it holds for"),
        optional("headers", new MapOf(Kind.HEADER, plain(Kind.TEXT), false), "none",
            "headers and the value each must have"),
        required("pool", plain(Kind.NAME), "where its requests go"),
        required("class", plain(Kind.NAME), "what they are"),
        optional("rewrite", plain(Kind.PATH), "none", "what stands in place of `path` as a request goes on"),
        optional("procedure", plain(Kind.PROCEDURE), "none",
            "what its requests are called where a server speaks MessagePack-RPC only"));

    private static final Section PROCEDURE = section(
        required("name", plain(Kind.NAME), "what people call it"),
        required("listener", plain(Kind.NAME), "the listener it belongs to"),
        required("procedure", plain(Kind.PROCEDURE), "the procedure, or the start of several and `*`"),
        required("pool", plain(Kind.NAME), "where its calls go"),
        required("class", plain(Kind.NAME), "what they are"),
        optional("path", plain(Kind.PATH), "none",
            "where servers that speak HTTP only are asked (POST); below it, what stands for the `*`"));

    /** A node's configuration. */
    public static final Section NODE = section(
        required("version", bounded(Kind.COUNT, 1, 1), "the version of this format: 1"),
        required("name", plain(Kind.NAME), "the node's name"),
        optional("tenant", plain(Kind.NAME), "none", "whose requests these are"),
        optional("limits", section(MEMORY, DESCRIPTORS), "see its keys", "what the node may hold"),
        ADMIN, HANDOVER, BgpSchema.BGP,
        required("listeners", new MapOf(Kind.NAME, LISTENER, false), "where callers connect"),
        required("classes", new MapOf(Kind.NAME, CLASS, false), "the classes of requests"),
        required("pools", new MapOf(Kind.NAME, POOL, false), "sets of servers"),
        optional("routes", listOf(ROUTE), "none", "which HTTP requests go to which pool"),
        optional("procedures", listOf(PROCEDURE), "none", "which MessagePack-RPC calls go to which pool"));

    private NodeSchema() {
    }
}
