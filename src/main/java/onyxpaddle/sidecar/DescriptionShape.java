package onyxpaddle.sidecar;

import static onyxpaddle.config.Schema.optional;
import static onyxpaddle.config.Schema.plain;
import static onyxpaddle.config.Schema.required;
import static onyxpaddle.config.Schema.section;
import static onyxpaddle.config.Schema.listOf;

import onyxpaddle.config.NodeSchema;
import onyxpaddle.config.Schema.Key;
import onyxpaddle.config.Schema.Kind;
import onyxpaddle.config.Schema.MapOf;
import onyxpaddle.config.Schema.Section;

/** The keys of an application's description. */
final class DescriptionShape {
    private static final Section CLASS = section(
        optional("paths", listOf(plain(Kind.PATH)), "none", "path prefixes, matched by whole segments"),
        optional("procedures", listOf(plain(Kind.PROCEDURE)), "none",
            "MessagePack-RPC procedures; a final `*` matches all names with that prefix"),
        optional("methods", listOf(plain(Kind.METHOD)), "any", "HTTP methods"),
        NodeSchema.EFFECT, NodeSchema.DEADLINE, NodeSchema.AIM, NodeSchema.WORTH, NodeSchema.LATE_WORTH,
        NodeSchema.KEY_MEMORY, NodeSchema.RETRY);

    private static final Section DEFAULT = section(NodeSchema.DEADLINE, NodeSchema.AIM, NodeSchema.WORTH,
        NodeSchema.LATE_WORTH);

    private static final Key CLASSES = optional("classes", new MapOf(Kind.LABEL, CLASS, false), "none",
        "the classes of these calls");
    private static final Key OTHERS = optional("default", DEFAULT, "they are answered 404",
        "the class of requests for all other paths; they are unsafe to repeat");

    private static final Section CALL = section(
        optional("port", plain(Kind.PORT), "none", "the port on 127.0.0.1 that the application calls by HTTP"),
        optional("rpc-port", plain(Kind.PORT), "none", "the port on 127.0.0.1 that the application calls by MessagePack-RPC"),
        NodeSchema.SERVER_LIST, NodeSchema.FILE, NodeSchema.DISCOVERY, CLASSES, OTHERS,
        NodeSchema.CONNECT_TIMEOUT, NodeSchema.KEEP_ALIVE, NodeSchema.IDLE, NodeSchema.ATTEMPTS, NodeSchema.IN_FLIGHT,
        NodeSchema.BODY, NodeSchema.HELD, NodeSchema.RPC);

    private static final Section LIMITS = section(NodeSchema.MEMORY, NodeSchema.DESCRIPTORS, NodeSchema.IN_FLIGHT,
        NodeSchema.BODY, NodeSchema.HELD, NodeSchema.CONNECT_TIMEOUT, NodeSchema.KEEP_ALIVE, NodeSchema.IDLE, NodeSchema.RPC);

    static final Section ALL = section(
        required("application", plain(Kind.LABEL), "its name, on this machine and for its callers"),
        optional("tenant", plain(Kind.NAME), "none", "the tenant whose requests it serves"),
        optional("port", plain(Kind.PORT), "none", "the port on 127.0.0.1 where the application itself listens for HTTP"),
        optional("inbound", plain(Kind.ADDRESS), "none", "the address of the node where callers connect by HTTP"),
        optional("rpc-port", plain(Kind.PORT), "none", "the port on 127.0.0.1 where the application listens for MessagePack-RPC"),
        optional("inbound-rpc", plain(Kind.ADDRESS), "none", "the address of the node where callers connect by MessagePack-RPC"),
        optional("serves", new MapOf(Kind.LABEL, CLASS, false), "none", "the classes of requests that it serves"),
        OTHERS,
        optional("calls", new MapOf(Kind.LABEL, CALL, false), "none",
            "what it calls: `servers`, `file` or `discovery`; without them, the application of that name on this machine"),
        NodeSchema.ADMIN, NodeSchema.HANDOVER,
        optional("limits", LIMITS, "see its keys", "resource limits of the node and load limits of the application"));

    private DescriptionShape() {
    }
}
