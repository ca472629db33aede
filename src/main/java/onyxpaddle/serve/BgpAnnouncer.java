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
import onyxpaddle.bgp.AnnouncePolicy.Standing;
import onyxpaddle.bgp.BgpMessage.Notification;
import onyxpaddle.bgp.ErrorCode;
import onyxpaddle.bgp.Fsm;
import onyxpaddle.bgp.Prefix;
import onyxpaddle.bgp.ServiceHealth;
import onyxpaddle.bgp.ServiceHealth.Seen;
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
 * Ties service addresses to what the node sees of its pools: looks some times a second, and tells the speaker how each address
 * stands. Whether the node drains is {@link NodeState}'s word, here as at the door.
 */
final class BgpAnnouncer {
    private static final long LOOK_MS = 250;
    /** An emptied node is one that has had nothing out for so long: routers still send while they learn of the drain. */
    private static final long QUIET = 1_000_000_000L;
    private static final long IDLE_HOLD = 1_000_000_000L;
    private static final long MOST_IDLE_HOLD = 120_000_000_000L;

    /** A pool's health over the dispatchers that it has had: counts only grow, whatever a reload replaces. */
    private static final class Watched {
        private final ServiceHealth health;
        private RunningPool unit;
        private final long[] before = new long[RequestCounts.RequestResult.values().length];

        private Watched(ServiceHealth health) {
            this.health = health;
        }

        private long count(RequestCounts.RequestResult how) {
            return before[how.ordinal()] + unit.dispatcher.ended(how);
        }

        private void is(RunningPool now) {
            if (unit != null && unit != now) {
                for (RequestCounts.RequestResult how : RequestCounts.RequestResult.values()) {
                    before[how.ordinal()] += unit.dispatcher.ended(how);
                }
            }
            unit = now;
        }
    }

    private final Lifecycle life;
    private final Supplier<Map<String, RunningPool>> pools;
    private final Supplier<List<RunningPool>> leaving;
    private final Speaker speaker;
    private final Map<String, Map<String, Watched>> watched = new HashMap<>();
    private final Map<String, String> told = new HashMap<>();
    private final Map<String, String> whys = new HashMap<>();
    private BgpConfig config = new BgpConfig(0, 0, null, Map.of(), Map.of());
    private Future<?> looking;
    private long lookedAt;
    private long busyAt;

    BgpAnnouncer(Lifecycle life, Supplier<Map<String, RunningPool>> pools, Supplier<List<RunningPool>> leaving, long seed) {
        this.life = life;
        this.pools = pools;
        this.leaving = leaving;
        speaker = new Speaker(life.loop, life.allocator, life.clock, seed);
        lookedAt = life.clock.now();
        looking = life.loop.scheduleWithFixedDelay(this::look, LOOK_MS, LOOK_MS, TimeUnit.MILLISECONDS);
    }

    // ---- configuration ----

    /** Moves to another configuration: what is the same in both goes on untouched. */
    void use(BgpConfig next) {
        boolean anew = config.as() != next.as() || config.identifier() != next.identifier();
        for (Peer peer : config.peers().values()) {
            if (anew || !peer.equals(next.peers().get(peer.name()))) {
                speaker.remove(peer.name());
            }
        }
        for (Service service : config.addresses().values()) {
            if (!service.equals(next.addresses().get(service.name()))) {
                speaker.removeAddress(service.name());
                watched.remove(service.name());
                told.remove(service.name());
                whys.remove(service.name());
            }
        }
        for (Service service : next.addresses().values()) {
            if (!service.equals(config.addresses().get(service.name()))) {
                speaker.add(service.name(), new AnnouncePolicy(terms(service), life.clock.now()));
            }
        }
        if (next.listen() != null && !next.listen().equals(config.listen())) {
            listen(next);
        }
        for (Peer peer : next.peers().values()) {
            if (anew || !peer.equals(config.peers().get(peer.name()))) {
                speaker.add(terms(next, peer), 0);
            }
        }
        config = next;
    }

    private void listen(BgpConfig next) {
        ChannelFuture bound = speaker.listen(Addresses.of(next.listen().host(), next.listen().port()));
        bound.addListener(f -> Log.line(f.isSuccess() ? "bgp: listens on " + next.listen()
            : "bgp: cannot listen on " + next.listen() + ": " + f.cause().getMessage()));
    }

    private static AnnouncePolicy.Terms terms(Service s) {
        List<Prefix> prefixes = new ArrayList<>();
        for (String text : s.prefixes()) {
            Ip.Range range = Ip.prefix(text);
            prefixes.add(new Prefix(range.address(), range.bits()));
        }
        return new AnnouncePolicy.Terms(prefixes, s.withdrawDegraded(), s.last(), s.med(), s.degradedMed(), s.communities(),
            s.degradedCommunities(), s.prepend(), s.holdDown(), s.mostHoldDown(), s.perMinute());
    }

    private static Speaker.PeerTerms terms(BgpConfig config, Peer peer) {
        Fsm.Terms fsm = new Fsm.Terms(config.as(), peer.as(), config.identifier(), peer.holdTime(), peer.connectRetry(), IDLE_HOLD,
            MOST_IDLE_HOLD, peer.passive());
        try {
            InetSocketAddress at = Addresses.of(peer.at().host(), peer.at().port());
            return new Speaker.PeerTerms(peer.name(), at, peer.local() == null ? null : InetAddress.getByAddress(Ip.parse(peer.local())),
                fsm, peer.nextHop4() == null ? null : Ip.parse(peer.nextHop4()), peer.nextHop6() == null ? null : Ip.parse(peer.nextHop6()),
                peer.mostPrefixes());
        } catch (UnknownHostException e) {
            throw new IllegalStateException("an address that was checked: " + peer.local(), e);
        }
    }

    // ---- what is seen ----

    private void look() {
        long now = life.clock.now();
        long lag = Math.max(0, now - lookedAt - LOOK_MS * 1_000_000L);
        lookedAt = now;
        boolean draining = life.state.phase() != Phase.SERVING;
        if (busy()) {
            busyAt = now;
        }
        boolean empty = now - busyAt >= QUIET;
        for (Service service : config.addresses().values()) {
            Verdict verdict = verdict(service, lag, now);
            say(service.name(), verdict, draining);
            speaker.stands(service.name(), new Standing(verdict.status(), draining, empty));
        }
    }

    private boolean busy() {
        for (RunningPool unit : pools.get().values()) {
            if (unit.dispatcher.unanswered() > 0) {
                return true;
            }
        }
        return leaving.get().stream().anyMatch(unit -> unit.dispatcher.unanswered() > 0);
    }

    private Verdict verdict(Service service, long lag, long now) {
        Map<String, Watched> mine = watched.computeIfAbsent(service.name(), n -> new LinkedHashMap<>());
        List<Verdict> verdicts = new ArrayList<>();
        for (String name : service.pools()) {
            RunningPool unit = pools.get().get(name);
            if (unit == null) {
                continue;
            }
            Watched pool = mine.computeIfAbsent(name, n -> new Watched(new ServiceHealth(terms(service.degradedBelow(),
                service.downBelow(), service.dwell()), now)));
            pool.is(unit);
            onyxpaddle.BalancerApi.FleetSummary fleet = unit.dispatcher.fleet();
            Verdict of = pool.health.observe(new Seen(unit.ready(), fleet.listed(), fleet.listed() - fleet.avoided(),
                pool.count(RequestCounts.RequestResult.SUCCESS), pool.count(RequestCounts.RequestResult.BUSY), pool.count(RequestCounts.RequestResult.FAILURE), lag), now);
            verdicts.add(new Verdict(of.status(), "pool " + name + ": " + of.why(), of.since()));
        }
        return ServiceHealth.combined(verdicts, service.any());
    }

    private static ServiceHealth.Terms terms(double degradedBelow, double downBelow, long dwell) {
        ServiceHealth.Terms usual = ServiceHealth.Terms.USUAL;
        return new ServiceHealth.Terms(degradedBelow, downBelow, usual.margin(), usual.leastSeen(), usual.window(), dwell, usual.worstLag());
    }

    /** A line where an address stands otherwise than at the last look. */
    private void say(String address, Verdict verdict, boolean draining) {
        whys.put(address, verdict.why());
        String text = (draining ? "draining" : verdict.status().name().toLowerCase(Locale.ROOT));
        if (!text.equals(told.put(address, text))) {
            Log.line("bgp: service " + address + " is " + text + (draining ? "" : ": " + verdict.why()));
        }
    }

    // ---- for on-call staff ----

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
                g.writeNumberField("heardPrefixes", peer.heardPrefixes());
                g.writeNumberField("updatesSent", peer.updatesSent());
                g.writeEndObject();
            }
            g.writeEndArray();
            g.writeArrayFieldStart("addresses");
            for (Map.Entry<String, AnnouncePolicy> address : speaker.addresses().entrySet()) {
                g.writeStartObject();
                g.writeStringField("name", address.getKey());
                g.writeStringField("announced", address.getValue().told());
                g.writeStringField("service", told.getOrDefault(address.getKey(), "not seen yet"));
                g.writeStringField("why", whys.getOrDefault(address.getKey(), ""));
                g.writeNumberField("heldForMs", address.getValue().leftOfHold(life.clock.now()) / 1_000_000L);
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

    // ---- end ----

    /** All that was taken is answered: withdraws, ends the sessions with a reason, and calls {@code done}. */
    void end(Runnable done) {
        looking.cancel(false);
        config.addresses().keySet().forEach(name -> speaker.stands(name, new Standing(ServiceHealth.Status.DOWN, true, true)));
        speaker.stop(new Notification(ErrorCode.SHUTDOWN), done);
    }
}
