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

/** The schemas of a node's configuration and of a list file, and the keys that descriptions share with them. */
public final class NodeSchema {
    public static final double MS = 1e6;
    public static final double S = 1e9;
    private static final double KIB = 1024;
    private static final double MIB = 1024 * KIB;

    public static final Key BODY = optional("body", bounded(Kind.SIZE, 1, 1024 * 1024 * MIB), "1 MiB",
        "the maximum size of a request or response body; for MessagePack-RPC it is buffered whole, within `memory`");
    public static final Key HELD = optional("held", bounded(Kind.SIZE, 0, 64 * MIB), "1 MiB",
        "how much of a request's body is buffered; a larger body is streamed, and the request is tried again only"
            + " until a part of the body that is not buffered has been sent");
    public static final Key IN_FLIGHT = optional("in-flight", bounded(Kind.COUNT, 0, 100_000), "0",
        "the number of unanswered requests above which further ones are refused at once; 0: no limit");
    public static final Key ATTEMPTS = optional("attempts", bounded(Kind.COUNT, 1, 20), "3",
        "the maximum number of attempts of a request, where its effect allows more than one");
    public static final Key CONNECT_TIMEOUT = optional("connect-timeout", bounded(Kind.SPAN, MS, 60 * S), "250 ms",
        "time after which a server that has not accepted a connection counts as unreachable");
    public static final Key KEEP_ALIVE = optional("keep-alive", bounded(Kind.SPAN, 10 * MS, 3600 * S), "5 s",
        "time after which the servers close idle connections; set it below their actual value");
    public static final Key IDLE = optional("idle", bounded(Kind.SPAN, 10 * MS, 3600 * S), "0.7 of `keep-alive`",
        "how long an idle connection is kept for reuse; must be below `keep-alive`");
    public static final Key MEMORY = optional("memory", bounded(Kind.SIZE, 16 * MIB, 1024 * 1024 * MIB), "64 MiB",
        "the node's heap; half of it is for bodies, of which each pool has a guaranteed part");
    public static final Key DESCRIPTORS = optional("descriptors", bounded(Kind.COUNT, 100, 10_000_000), "1024",
        "the maximum number of open file descriptors; clients and pools share them");
    public static final Key EFFECT = required("effect", word("safe", "keyed", "unsafe"),
        "the effect of repeating a request: `safe`: none; `keyed`: the servers drop repeats of an Idempotency-Key; `unsafe`: harm");
    public static final Key AIM = optional("aim", bounded(Kind.SPAN, MS, 3600 * S), "the deadline",
        "the time within which an answer has its full worth");
    public static final Key DEADLINE = required("deadline", bounded(Kind.SPAN, MS, 3600 * S),
        "how long a caller waits in total; a shorter X-Expires-In (seconds) of a caller takes precedence");
    public static final Key WORTH = optional("worth", bounded(Kind.NUMBER, 0, 1e6), "1",
        "the worth of an answer relative to other classes");
    public static final Key LATE_WORTH = optional("late-worth", bounded(Kind.NUMBER, 0, 1), "0",
        "the fraction of its worth that an answer has after its aim");
    public static final Key KEY_MEMORY = optional("memory", bounded(Kind.SPAN, 0, 86400 * S), "0 ms",
        "for `keyed`: how long the servers remember a key, counted from the first attempt that may have run");
    public static final Key RETRY = optional("retry", plain(Kind.FLAG), "true unless `unsafe`",
        "whether a request that may have run is sent again; one that never ran can always be sent again");

    public static final Key ADMIN = optional("admin", plain(Kind.ADDRESS), "off",
        "the admin address, which serves `/ready`, `/metrics`, `/servers`, `/drain`, `/undrain`; not a wildcard address");
    public static final Key HANDOVER = optional("handover", plain(Kind.TEXT), "none",
        "a directory through which a process of this node hands over to its successor; relative to this file");

    private static final Section CLASS = section(EFFECT, AIM, DEADLINE, WORTH, LATE_WORTH, KEY_MEMORY, RETRY);

    private static final Section SERVER = section(
        optional("id", plain(Kind.TEXT), "the address", "stable for the lifetime of the server"),
        optional("address", plain(Kind.ADDRESS), "none", "where it listens for HTTP"),
        optional("rpc", plain(Kind.ADDRESS), "none", "where it listens for MessagePack-RPC"),
        optional("weight", bounded(Kind.NUMBER, 0.001, 1e6), "1", "its capacity relative to the other servers"),
        optional("zone", plain(Kind.NAME), "none", "its zone"),
        optional("state", word("ready", "draining"), "ready", "`draining`: finishes its requests and gets no new ones"));

    /** Servers, each as an address or as a section. */
    public static final ListOf SERVERS = listOf(new ScalarOrSection(plain(Kind.ADDRESS), SERVER));

    public static final Key FILE = optional("file", plain(Kind.TEXT), "none",
        "a list file that is watched for changes, relative to this file");
    public static final Key DISCOVERY = optional("discovery", plain(Kind.ADDRESS), "none",
        "a discovery service that lists the servers (GET /v1/endpoints)");
    public static final Key SERVER_LIST = optional("servers", SERVERS, "none", "a fixed list of servers");

    /** The schema of a list file. */
    public static final Section LIST_FILE = section(required("servers", SERVERS, "the complete list of servers"),
        optional("count", bounded(Kind.COUNT, 1, 10_000), "not checked",
            "the number of servers in the list, so that a truncated file is detected"));

    /** Settings for calls to a pool's servers by MessagePack-RPC. */
    public static final Key RPC = optional("rpc", section(
        optional("connections", bounded(Kind.COUNT, 1, 64), "4", "the maximum number of connections to one server"),
        optional("calls", bounded(Kind.COUNT, 1, 10_000), "256", "the maximum number of concurrent calls on a connection"),
        optional("envelope", plain(Kind.FLAG), "false",
            "whether calls carry key, tenant and remaining time in an envelope, as those of callers do")),
        "see its keys", "how its servers are called by MessagePack-RPC");

    private static final Section POOL = section(SERVER_LIST, FILE, DISCOVERY, CONNECT_TIMEOUT, KEEP_ALIVE, IDLE,
        ATTEMPTS, IN_FLIGHT, BODY, HELD, RPC,
        optional("cold", bounded(Kind.SPAN, 0, 3600 * S), "0 ms", "how long a server that has just started is cold"),
        optional("start-capacity", bounded(Kind.NUMBER, 0.01, 1), "1", "the fraction of its capacity that it starts with"));

    /** The keys of a class, in descriptions and configurations. */
    public static final Section CLASS_KEYS = CLASS;

    private static final Section LISTENER = section(
        required("address", plain(Kind.ADDRESS), "where callers connect"),
        optional("protocol", word("http", "messagepack-rpc"), "http", "the protocol of callers"),
        optional("open-calls", bounded(Kind.COUNT, 1, 10_000), "256",
            "for `messagepack-rpc`: the maximum number of open calls on a connection; further ones wait"),
        optional("side", word("inbound", "outbound"), "inbound",
            "`outbound`: for calls of the application itself; it serves until the inbound listeners have drained"),
        optional("idle", bounded(Kind.SPAN, 100 * MS, 3600 * S), "60 s",
            "how long a caller's connection may stay open between requests"));

    private static final Section ROUTE = section(
        required("name", plain(Kind.NAME), "a unique name"),
        required("listener", plain(Kind.NAME), "the listener it belongs to"),
        optional("host", plain(Kind.HOST), "any", "the requested host; `*.` and a domain for all of its subdomains"),
        required("path", plain(Kind.PATH), "a prefix of the path, of whole segments"),
        optional("methods", listOf(plain(Kind.METHOD)), "any", "the methods to match"),
        optional("headers", new MapOf(Kind.HEADER, plain(Kind.TEXT), false), "none",
            "headers and their required values"),
        required("pool", plain(Kind.NAME), "the pool that its requests go to"),
        required("class", plain(Kind.NAME), "the class of its requests"),
        optional("rewrite", plain(Kind.PATH), "none", "replaces `path` in forwarded requests"),
        optional("procedure", plain(Kind.PROCEDURE), "none",
            "the procedure to call on servers that speak only MessagePack-RPC"));

    private static final Section PROCEDURE = section(
        required("name", plain(Kind.NAME), "a unique name"),
        required("listener", plain(Kind.NAME), "the listener it belongs to"),
        required("procedure", plain(Kind.PROCEDURE), "the procedure, or a prefix of several and `*`"),
        required("pool", plain(Kind.NAME), "the pool that its calls go to"),
        required("class", plain(Kind.NAME), "the class of its requests"),
        optional("path", plain(Kind.PATH), "none",
            "the path for servers that speak only HTTP (POST), followed by what matches the `*`"));

    /** The schema of a node's configuration. */
    public static final Section NODE = section(
        required("version", bounded(Kind.COUNT, 1, 1), "the version of this format: 1"),
        required("name", plain(Kind.NAME), "the node's name"),
        optional("tenant", plain(Kind.NAME), "none", "the tenant of its requests"),
        optional("limits", section(MEMORY, DESCRIPTORS), "see its keys", "the resources that the node may use"),
        ADMIN, HANDOVER, BgpSchema.BGP,
        required("listeners", new MapOf(Kind.NAME, LISTENER, false), "where callers connect"),
        required("classes", new MapOf(Kind.NAME, CLASS, false), "the classes of requests"),
        required("pools", new MapOf(Kind.NAME, POOL, false), "sets of servers"),
        optional("routes", listOf(ROUTE), "none", "which HTTP requests go to which pool"),
        optional("procedures", listOf(PROCEDURE), "none", "which MessagePack-RPC calls go to which pool"));

    private NodeSchema() {
    }
}
