package onyxpaddle.serve;

import java.util.Set;
import java.util.function.Supplier;
import onyxpaddle.BalancerApi.Outcome;
import onyxpaddle.bridge.KeyForms;
import onyxpaddle.http.HttpRequestHead;
import onyxpaddle.http.HttpUpstream;
import onyxpaddle.node.Attempt;
import onyxpaddle.node.Dispatcher;
import onyxpaddle.node.Log;
import onyxpaddle.node.Metadata;
import onyxpaddle.node.NodeEvent;
import onyxpaddle.node.ServerList;
import onyxpaddle.node.Upstream;
import onyxpaddle.rpc.RpcCallHead;
import onyxpaddle.rpc.RpcUpstream;

/**
 * A pool's servers over both protocols. A request uses its caller's protocol if the server speaks it, otherwise the other one if
 * the request is mapped. The balancer sees one server with one count of requests in flight, whatever protocol they use.
 */
final class MixedProtocolUpstream implements Upstream {
    private final Dispatcher dispatcher;
    private final HttpUpstream http;
    private final Supplier<RpcUpstream> rpcFactory;
    /** Null until a listed server has an RPC address. */
    private RpcUpstream rpc;
    /** Whether MessagePack-RPC servers are told keys. */
    private final boolean sendsEnvelope;
    /** Whether a listed server is reached by MessagePack-RPC, and whether one is reached by only one of the protocols. */
    private boolean hasRpcServer;
    private boolean hasRpcOnlyServer;
    private boolean hasHttpOnlyServer = true;
    private boolean mismatchLogged;

    /**
     * {@code sendsEnvelope}: whether MessagePack-RPC servers receive keys in an envelope; {@code rpc}: creates the MessagePack-RPC upstream,
     * on demand, as most pools do not need it.
     */
    MixedProtocolUpstream(Dispatcher dispatcher, HttpUpstream http, boolean sendsEnvelope, Supplier<RpcUpstream> rpc) {
        this.dispatcher = dispatcher;
        this.http = http;
        this.sendsEnvelope = sendsEnvelope;
        this.rpcFactory = rpc;
    }

    void apply(ServerList roster) {
        http.apply(roster);
        if (rpc == null && roster.hosts().stream().anyMatch(h -> h.address(RpcUpstream.PROTOCOL) != null)) {
            rpc = rpcFactory.get();
        }
        if (rpc != null) {
            rpc.apply(roster);
            Set<String> reached = rpc.reachedServers();
            hasRpcServer = !reached.isEmpty();
            hasRpcOnlyServer = reached.stream().anyMatch(server -> !http.reaches(server));
            hasHttpOnlyServer = http.reachedServers().stream().anyMatch(server -> !rpc.reaches(server));
        }
    }

    /** Whether all keys reach all listed servers, whichever protocols callers and servers speak. */
    boolean tellsAllKeys() {
        return sendsEnvelope || !hasRpcServer;
    }

    @Override
    public boolean tellsKeys(Metadata head) {
        if (head instanceof RpcCallHead) {
            return (!hasRpcServer || tellsKeyByRpc(head)) && (!hasHttpOnlyServer || tellsKeyByHttp(head));
        }
        return head.mapped() == null || !hasRpcOnlyServer || tellsKeyByRpc(head);
    }

    private static boolean tellsKeyByHttp(Metadata head) {
        return !(head instanceof RpcCallHead call) || call.key() != null && KeyForms.headerValue(call.key()) != null;
    }

    private boolean tellsKeyByRpc(Metadata head) {
        return sendsEnvelope && (!(head instanceof HttpRequestHead request) || request.key() != null && KeyForms.text(request.key()) != null);
    }

    @Override
    public void send(Attempt attempt) {
        if (rpc == null && attempt.exchange.head.mapped() == null && !(attempt.exchange.head instanceof RpcCallHead)) {
            http.send(attempt);
            return;
        }
        boolean byRpc = attempt.exchange.head instanceof RpcCallHead;
        boolean mapped = attempt.exchange.head.mapped() != null;
        boolean rpcReaches = rpc != null && rpc.reaches(attempt.server);
        boolean httpReaches = http.reaches(attempt.server);
        boolean useRpc = rpcReaches && (byRpc || mapped && !httpReaches);
        if (!useRpc && !(httpReaches && (!byRpc || mapped))) {
            if (!mismatchLogged && (rpcReaches || httpReaches)) {
                mismatchLogged = true;
                Log.line("server " + attempt.server + " speaks " + (httpReaches ? "HTTP" : "MessagePack-RPC")
                    + " only; requests of the other protocol that are not mapped cannot be sent to it");
            }
            dispatcher.ended(attempt, rpcReaches || httpReaches ? Outcome.NOT_SENT : Outcome.CONNECT_FAILED, null);
        } else if (withholdsKey(attempt, useRpc)) {
            dispatcher.events().count(NodeEvent.ATTEMPT_KEY_WITHHELD, attempt.exchange.id);
            dispatcher.ended(attempt, Outcome.NOT_SENT, null);
        } else {
            (useRpc ? rpc : http).send(attempt);
        }
    }

    /** Whether the request relies on a key that this attempt would not tell: the list may have changed since it was routed. */
    private boolean withholdsKey(Attempt attempt, boolean useRpc) {
        Metadata head = attempt.exchange.head;
        return attempt.exchange.reliesOnKey() && !(useRpc ? tellsKeyByRpc(head) : tellsKeyByHttp(head));
    }

    @Override
    public boolean passOn(Attempt attempt) {
        return http.passOn(attempt);
    }

    @Override
    public void giveUp(Attempt attempt) {
        // Each upstream ignores attempts that are not on one of its own connections.
        http.giveUp(attempt);
        if (rpc != null) {
            rpc.giveUp(attempt);
        }
    }

    void close() {
        http.close();
        if (rpc != null) {
            rpc.close();
        }
    }
}
