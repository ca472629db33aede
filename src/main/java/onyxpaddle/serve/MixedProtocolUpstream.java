package onyxpaddle.serve;

import java.util.function.Supplier;
import onyxpaddle.BalancerApi.Outcome;
import onyxpaddle.http.HttpUpstream;
import onyxpaddle.node.Attempt;
import onyxpaddle.node.Dispatcher;
import onyxpaddle.node.Log;
import onyxpaddle.node.ServerList;
import onyxpaddle.node.Upstream;
import onyxpaddle.rpc.RpcCallHead;
import onyxpaddle.rpc.RpcUpstream;

/**
 * A pool's servers over both protocols. A request goes by its caller's own where the server speaks it, else by the other
 * if it is mapped. What decides sees one server, with one count of what is in flight, whichever way its requests go.
 */
final class MixedProtocolUpstream implements Upstream {
    private final Dispatcher dispatcher;
    private final HttpUpstream http;
    private final Supplier<RpcUpstream> start;
    /** Null until a server speaks it. */
    private RpcUpstream rpc;
    private boolean told;

    /** {@code rpc}: starts what calls servers by MessagePack-RPC, which most pools have no need of. */
    MixedProtocolUpstream(Dispatcher dispatcher, HttpUpstream http, Supplier<RpcUpstream> rpc) {
        this.dispatcher = dispatcher;
        this.http = http;
        this.start = rpc;
    }

    void apply(ServerList roster) {
        http.apply(roster);
        if (rpc == null && roster.hosts().stream().anyMatch(h -> h.address(RpcUpstream.PROTOCOL) != null)) {
            rpc = start.get();
        }
        if (rpc != null) {
            rpc.apply(roster);
        }
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
        if (rpcReaches && (byRpc || mapped && !httpReaches)) {
            rpc.send(attempt);
        } else if (httpReaches && (!byRpc || mapped)) {
            http.send(attempt);
        } else {
            if (!told && (rpcReaches || httpReaches)) {
                told = true;
                Log.line("server " + attempt.server + " speaks " + (httpReaches ? "HTTP" : "MessagePack-RPC")
                    + " only, and requests of the other protocol that are not mapped can't go to it");
            }
            dispatcher.ended(attempt, rpcReaches || httpReaches ? Outcome.NOT_SENT : Outcome.CONNECT_FAILED, null);
        }
    }

    @Override
    public void giveUp(Attempt attempt) {
        // Each knows its own by what carries the attempt.
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
