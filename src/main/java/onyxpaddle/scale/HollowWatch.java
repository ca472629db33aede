package onyxpaddle.scale;

import io.netty.buffer.ByteBufAllocator;
import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.util.List;
import onyxpaddle.BalancerApi.ListKind;
import onyxpaddle.BalancerApi.Settings;
import onyxpaddle.RatioBalancer;
import onyxpaddle.membership.Discovery;
import onyxpaddle.membership.ServerTable;
import onyxpaddle.node.Attempt;
import onyxpaddle.node.Clock;
import onyxpaddle.node.Dispatcher;
import onyxpaddle.node.ServerList;
import onyxpaddle.node.ServerListStatus;
import onyxpaddle.node.RequestCounts;
import onyxpaddle.node.Upstream;

/**
 * One pool of a hollow node: the program's own list watch, dispatcher and module, without connections to servers. All happens on one
 * event loop; what it holds may be read by any thread.
 */
final class HollowWatch {
    /** Nothing is sent: no request ever comes to a hollow node. */
    private static final Upstream NO_SERVERS = new Upstream() {
        @Override
        public void send(Attempt attempt) {
            throw new IllegalStateException("a hollow node sends nothing");
        }

        @Override
        public void giveUp(Attempt attempt) {
            throw new IllegalStateException("a hollow node sends nothing");
        }
    };

    private static final ServerList NO_LIST = new ServerList(0, true, List.of());

    private final int service;
    private final Dispatcher dispatcher;
    private final ListClient client;
    private volatile long version;
    private volatile long changedAt;

    /** {@code asked}: as a front's, whose module says when to ask. */
    HollowWatch(int service, EventLoop loop, ByteBufAllocator allocator, InetSocketAddress door, boolean asked, Settings settings, long seed,
            SeededFault fault) {
        this.service = service;
        dispatcher = new Dispatcher(new Clock(), loop, new RatioBalancer(settings, seed), settings.limits(), new RequestCounts(List.of()));
        client = fault == SeededFault.HERD ? new HerdingClient(loop, door, this::take)
            : new ProductionClient(new Discovery(loop, allocator, door, asked, new ServerTable(NO_LIST), new ServerListStatus(false),
                new Discovery.Listener() {
                    @Override
                    public void received(ServerList list, boolean current) {
                        if (current) {
                            take(list);
                        }
                    }

                    @Override
                    public void refused() {
                        dispatcher.membership(ListKind.REFUSED, List.of());
                    }
                }), asked);
        dispatcher.connect(NO_SERVERS, client::subscribe);
        if (asked) {
            dispatcher.membership(ListKind.CACHED, List.of());
        }
    }

    void start() {
        client.start();
    }

    void stop() {
        client.stop();
    }

    private void take(ServerList roster) {
        dispatcher.membership(roster.whole() ? ListKind.ALL : ListKind.CHANGES, roster.entries());
        if (roster.seq() != version) {
            changedAt = System.nanoTime();
            version = roster.seq();
        }
    }

    int service() {
        return service;
    }

    /** The version held; 0 before the first list. */
    long version() {
        return version;
    }

    /** When that version came, by the machine's monotonic clock. */
    long changedAt() {
        return changedAt;
    }
}
