package onyxpaddle.serve;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import io.netty.channel.ChannelFuture;
import java.io.IOException;
import java.io.StringWriter;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import onyxpaddle.bgp.AnnouncePolicy;
import onyxpaddle.bgp.AnnouncePolicy.AddressStatus;
import onyxpaddle.bgp.BgpMessage.Notification;
import onyxpaddle.bgp.ErrorCode;
import onyxpaddle.bgp.Fsm;
import onyxpaddle.bgp.Prefix;
import onyxpaddle.bgp.ServiceHealth;
import onyxpaddle.bgp.ServiceHealth.Observation;
import onyxpaddle.bgp.ServiceHealth.Verdict;
import onyxpaddle.bgp.Speaker;
import onyxpaddle.config.BgpConfig;
import onyxpaddle.config.BgpConfig.Peer;
import onyxpaddle.config.BgpConfig.Service;
import onyxpaddle.config.Ip;
import onyxpaddle.drain.NodeState;
import onyxpaddle.drain.NodeState.Phase;
import onyxpaddle.node.Addresses;
import onyxpaddle.node.Log;
import onyxpaddle.node.RequestCounts;

/**
 * Derives the status of each announced service address from the health of its pools: polls the pools several times a second and
 * reports the status to the BGP speaker. Whether the node is draining is read from {@link NodeState}, as for the listeners.
 */
final class BgpAnnouncer {
    private static final long POLL_MS = 250;
    /** Time without requests in flight after which a node counts as empty: routers go on sending until they learn of the drain. */
    private static final long EMPTY_AFTER = 1_000_000_000L;
    private static final long IDLE_HOLD = 1_000_000_000L;
    private static final long MAX_IDLE_HOLD = 120_000_000_000L;

    /** A pool's health across reloads: counts are summed over the dispatchers the pool has had, so they never decrease. */
    private static final class MonitoredPool {
        private final ServiceHealth health;
        private RunningPool pool;
        private final long[] retiredCounts = new long[RequestCounts.RequestResult.values().length];

        private MonitoredPool(ServiceHealth health) {
            this.health = health;
        }

        private long count(RequestCounts.RequestResult end) {
            return retiredCounts[end.ordinal()] + pool.dispatcher.ended(end);
        }

        private void setPool(RunningPool current) {
            if (pool != null && pool != current) {
                for (RequestCounts.RequestResult end : RequestCounts.RequestResult.values()) {
                    retiredCounts[end.ordinal()] += pool.dispatcher.ended(end);
                }
            }
            pool = current;
        }
    }

    private final Lifecycle lifecycle;
    private final Supplier<Map<String, RunningPool>> pools;
    private final Supplier<List<RunningPool>> retiredPools;
    private final Speaker speaker;
    private final Map<String, Map<String, MonitoredPool>> monitoredPools = new HashMap<>();
    private final Map<String, String> lastStatus = new HashMap<>();
    private final Map<String, String> reasons = new HashMap<>();
    private BgpConfig config = new BgpConfig(0, 0, null, Map.of(), Map.of());
    private Future<?> pollTask;
    private long lastPollAt;
    private long lastBusyAt;

    BgpAnnouncer(Lifecycle lifecycle, Supplier<Map<String, RunningPool>> pools, Supplier<List<RunningPool>> retiredPools, long seed) {
        this.lifecycle = lifecycle;
        this.pools = pools;
        this.retiredPools = retiredPools;
        speaker = new Speaker(lifecycle.loop, lifecycle.allocator, lifecycle.clock, seed);
        lastPollAt = lifecycle.clock.now();
        pollTask = lifecycle.loop.scheduleWithFixedDelay(this::poll, POLL_MS, POLL_MS, TimeUnit.MILLISECONDS);
    }

    // ---- configuration ----

    /** Switches to another configuration; peers and addresses that are equal in both are not touched. */
    void apply(BgpConfig next) {
        boolean identityChanged = config.as() != next.as() || config.identifier() != next.identifier();
        for (Peer peer : config.peers().values()) {
            if (identityChanged || !peer.equals(next.peers().get(peer.name()))) {
                speaker.remove(peer.name());
            }
        }
        for (Service service : config.addresses().values()) {
            if (!service.equals(next.addresses().get(service.name()))) {
                speaker.removeAddress(service.name());
                monitoredPools.remove(service.name());
                lastStatus.remove(service.name());
                reasons.remove(service.name());
            }
        }
        for (Service service : next.addresses().values()) {
            if (!service.equals(config.addresses().get(service.name()))) {
                speaker.add(service.name(), new AnnouncePolicy(terms(service), lifecycle.clock.now()));
            }
        }
        if (next.listen() != null && !next.listen().equals(config.listen())) {
            listen(next);
        }
        for (Peer peer : next.peers().values()) {
            if (identityChanged || !peer.equals(config.peers().get(peer.name()))) {
                speaker.add(terms(next, peer), 0);
            }
        }
        config = next;
    }

    private void listen(BgpConfig next) {
        ChannelFuture bound = speaker.listen(Addresses.of(next.listen().host(), next.listen().port()));
        bound.addListener(f -> Log.line(f.isSuccess() ? "bgp: listening on " + next.listen()
            : "bgp: cannot listen on " + next.listen() + ": " + f.cause().getMessage()));
    }

    private static AnnouncePolicy.Settings terms(Service s) {
        List<Prefix> prefixes = new ArrayList<>();
        for (String text : s.prefixes()) {
            Ip.Range range = Ip.prefix(text);
            prefixes.add(new Prefix(range.address(), range.bits()));
        }
        return new AnnouncePolicy.Settings(prefixes, s.withdrawDegraded(), s.lastAnnouncer(), s.med(), s.degradedMed(), s.communities(),
            s.degradedCommunities(), s.prepend(), s.holdDown(), s.maxHoldDown(), s.updatesPerMinute());
    }

    private static Speaker.PeerSettings terms(BgpConfig config, Peer peer) {
        Fsm.Settings fsm = new Fsm.Settings(config.as(), peer.as(), config.identifier(), peer.holdTime(), peer.connectRetry(), IDLE_HOLD,
            MAX_IDLE_HOLD, peer.passive());
        try {
            InetSocketAddress at = Addresses.of(peer.address().host(), peer.address().port());
            return new Speaker.PeerSettings(peer.name(), at, peer.local() == null ? null : InetAddress.getByAddress(Ip.parse(peer.local())),
                fsm, peer.nextHop4() == null ? null : Ip.parse(peer.nextHop4()), peer.nextHop6() == null ? null : Ip.parse(peer.nextHop6()),
                peer.maxPrefixes());
        } catch (UnknownHostException e) {
            throw new IllegalStateException("invalid local address in a validated configuration: " + peer.local(), e);
        }
    }

    // ---- health ----

    private void poll() {
        long now = lifecycle.clock.now();
        long lag = Math.max(0, now - lastPollAt - POLL_MS * 1_000_000L);
        lastPollAt = now;
        boolean draining = lifecycle.state.phase() != Phase.SERVING;
        if (busy()) {
            lastBusyAt = now;
        }
        boolean empty = now - lastBusyAt >= EMPTY_AFTER;
        for (Service service : config.addresses().values()) {
            Verdict verdict = verdict(service, lag, now);
            logChange(service.name(), verdict, draining);
            speaker.updateStatus(service.name(), new AddressStatus(verdict.status(), draining, empty));
        }
    }

    private boolean busy() {
        for (RunningPool pool : pools.get().values()) {
            if (pool.dispatcher.unanswered() > 0) {
                return true;
            }
        }
        return retiredPools.get().stream().anyMatch(pool -> pool.dispatcher.unanswered() > 0);
    }

    private Verdict verdict(Service service, long lag, long now) {
        Map<String, MonitoredPool> ofService = monitoredPools.computeIfAbsent(service.name(), n -> new LinkedHashMap<>());
        List<Verdict> verdicts = new ArrayList<>();
        for (String name : service.pools()) {
            RunningPool pool = pools.get().get(name);
            if (pool == null) {
                continue;
            }
            MonitoredPool monitored = ofService.computeIfAbsent(name, n -> new MonitoredPool(new ServiceHealth(
                terms(service.degradedBelow(), service.downBelow(), service.dwell()), now)));
            monitored.setPool(pool);
            onyxpaddle.BalancerApi.FleetSummary fleet = pool.dispatcher.fleet();
            Verdict verdict = monitored.health.observe(new Observation(pool.ready(), fleet.listed(), fleet.listed() - fleet.avoided(),
                monitored.count(RequestCounts.RequestResult.SUCCESS), monitored.count(RequestCounts.RequestResult.BUSY), monitored.count(RequestCounts.RequestResult.FAILURE), lag), now);
            verdicts.add(new Verdict(verdict.status(), "pool " + name + ": " + verdict.reason(), verdict.since()));
        }
        return ServiceHealth.combine(verdicts, service.anyPool());
    }

    private static ServiceHealth.Settings terms(double degradedBelow, double downBelow, long dwell) {
        ServiceHealth.Settings usual = ServiceHealth.Settings.USUAL;
        return new ServiceHealth.Settings(degradedBelow, downBelow, usual.margin(), usual.minRequests(), usual.window(), dwell,
            usual.maxLoopLag());
    }

    /** Logs a line where the status of an address has changed since the last poll. */
    private void logChange(String address, Verdict verdict, boolean draining) {
        reasons.put(address, verdict.reason());
        String text = (draining ? "draining" : verdict.status().name().toLowerCase(Locale.ROOT));
        if (!text.equals(lastStatus.put(address, text))) {
            Log.line("bgp: service " + address + " is " + text + (draining ? "" : ": " + verdict.reason()));
        }
    }

    // ---- report ----

    /** Peers and addresses, as JSON. */
    String report() {
        StringWriter text = new StringWriter();
        try (JsonGenerator g = new JsonFactory().createGenerator(text)) {
            g.writeStartObject();
            g.writeArrayFieldStart("peers");
            for (Speaker.PeerStatus peer : speaker.status()) {
                g.writeStartObject();
                g.writeStringField("name", peer.name());
                g.writeStringField("state", peer.state().name().toLowerCase(Locale.ROOT).replace('_', ' '));
                g.writeNumberField("failures", peer.failures());
                g.writeNumberField("heardPrefixes", peer.receivedPrefixes());
                g.writeNumberField("updatesSent", peer.updatesSent());
                g.writeEndObject();
            }
            g.writeEndArray();
            g.writeArrayFieldStart("addresses");
            for (Map.Entry<String, AnnouncePolicy> address : speaker.addresses().entrySet()) {
                g.writeStartObject();
                g.writeStringField("name", address.getKey());
                g.writeStringField("announced", address.getValue().modeName());
                g.writeStringField("service", lastStatus.getOrDefault(address.getKey(), "not seen yet"));
                g.writeStringField("why", reasons.getOrDefault(address.getKey(), ""));
                g.writeNumberField("heldForMs", address.getValue().holdDownRemaining(lifecycle.clock.now()) / 1_000_000L);
                g.writeArrayFieldStart("prefixes");
                for (Prefix prefix : address.getValue().prefixes()) {
                    g.writeString(prefix.toString());
                }
                g.writeEndArray();
                g.writeEndObject();
            }
            g.writeEndArray();
            g.writeEndObject();
            g.writeRaw('\n');
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return text.toString();
    }

    // ---- shutdown ----

    /** To be called once all accepted requests are answered: withdraws, closes the sessions with a reason, then calls {@code done}. */
    void stop(Runnable done) {
        pollTask.cancel(false);
        config.addresses().keySet().forEach(name -> speaker.updateStatus(name, new AddressStatus(ServiceHealth.Status.DOWN, true, true)));
        speaker.stop(new Notification(ErrorCode.SHUTDOWN), done);
    }
}
