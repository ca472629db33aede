package onyxpaddle.sidecar;

import static onyxpaddle.config.Shape.optional;
import static onyxpaddle.config.Shape.plain;
import static onyxpaddle.config.Shape.required;
import static onyxpaddle.config.Shape.section;
import static onyxpaddle.config.Shape.some;

import onyxpaddle.config.NodeShape;
import onyxpaddle.config.Shape.Key;
import onyxpaddle.config.Shape.Kind;
import onyxpaddle.config.Shape.MapOf;
import onyxpaddle.config.Shape.Section;

/** The keys of an application's description. */
final class DescriptionShape {
    private static final Section CLASS = section(
        optional("paths", some(plain(Kind.PATH)), "none", "the starts of the paths, by whole segments"),
        optional("procedures", some(plain(Kind.PROCEDURE)), "none",
            "the procedures of MessagePack-RPC; `*` at the end stands for all that begin so"),
        optional("methods", some(plain(Kind.METHOD)), "any", "the methods"),
        NodeShape.EFFECT, NodeShape.DEADLINE, NodeShape.AIM, NodeShape.WORTH, NodeShape.LATE_WORTH,
        NodeShape.KEY_MEMORY, NodeShape.RETRY);

    private static final Section DEFAULT = section(NodeShape.DEADLINE, NodeShape.AIM, NodeShape.WORTH,
        NodeShape.LATE_WORTH);

    private static final Key CLASSES = optional("classes", new MapOf(Kind.LABEL, CLASS, false), "none",
        "the classes of these calls");
    private static final Key OTHERS = optional("default", DEFAULT, "they are answered 404",
        "what requests for all other paths are; they are unsafe to repeat");

    private static final Section CALL = section(
        optional("port", plain(Kind.PORT), "none", "where the application reaches it by HTTP, on 127.0.0.1"),
        optional("rpc-port", plain(Kind.PORT), "none", "where it reaches it by MessagePack-RPC, on 127.0.0.1"),
        NodeShape.SERVER_LIST, NodeShape.FILE, NodeShape.DISCOVERY, CLASSES, OTHERS,
        NodeShape.CONNECT_TIMEOUT, NodeShape.KEEP_ALIVE, NodeShape.IDLE, NodeShape.ATTEMPTS, NodeShape.IN_FLIGHT,
        NodeShape.BODY, NodeShape.HELD, NodeShape.RPC);

    private static final Section LIMITS = section(NodeShape.MEMORY, NodeShape.DESCRIPTORS, NodeShape.IN_FLIGHT,
        NodeShape.BODY, NodeShape.HELD, NodeShape.CONNECT_TIMEOUT, NodeShape.KEEP_ALIVE, NodeShape.IDLE, NodeShape.RPC);

    static final Section ALL = section(
        required("application", plain(Kind.LABEL), "its name, on this machine and to those who call it"),
        optional("tenant", plain(Kind.NAME), "none", "whose requests it serves"),
        optional("port", plain(Kind.PORT), "none", "where the application itself listens for HTTP, on 127.0.0.1"),
        optional("inbound", plain(Kind.ADDRESS), "none", "where its callers connect by HTTP: the node's address before it"),
        optional("rpc-port", plain(Kind.PORT), "none", "where the application listens for MessagePack-RPC, on 127.0.0.1"),
        optional("inbound-rpc", plain(Kind.ADDRESS), "none", "where its callers connect by MessagePack-RPC"),
        optional("serves", new MapOf(Kind.LABEL, CLASS, false), "none", "the classes of requests that it serves"),
        OTHERS,
        optional("calls", new MapOf(Kind.LABEL, CALL, false), "none",
            "what it calls: `servers`, `file` or `discovery`, or else the application of that name on this machine"),
        NodeShape.ADMIN, NodeShape.HANDOVER,
        optional("limits", LIMITS, "see its keys", "what the node may hold, and what the application bears"));

    private DescriptionShape() {
    }
}
