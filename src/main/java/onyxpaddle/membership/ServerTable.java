package onyxpaddle.membership;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import onyxpaddle.BalancerApi.ServerEntry;
import onyxpaddle.BalancerApi.ServerState;
import onyxpaddle.membership.ListUpdate.Entry;
import onyxpaddle.node.ServerList;
import onyxpaddle.node.ServerList.Host;
import onyxpaddle.node.ServerListStatus.Verdict;

/**
 * The servers that a node goes by, and the decision what an answer of discovery changes in them. Does no I/O and is handed the time.
 *
 * <p>An answer is current if it is a whole list that is not older than the newest version received, or changes to the version held; it is
 * in force as it is. Any other answer may be outdated, or may be the newest state under other version numbers. Invariant: a server is in
 * use only if the last current list and every later answer permit it, so such an answer takes servers out of use at once, and puts none
 * into use. The server's entry is then in force as draining, so that what was learnt of it is kept.
 */
public final class ServerTable {
    /**
     * A change reaches the node within this time, in nanoseconds: an older version that is still the only one after it is no delayed
     * answer, and discovery has restarted its version numbers.
     */
    private static final long DELIVERY_LIMIT = 6_000_000_000L;
    private static final long NOT_FORBIDDEN = -1;

    /**
     * A server and what keeps it out of use.
     *
     * @param host its entry in the last current answer that could be read
     * @param readable whether its entry in the last current answer could be read
     * @param forbiddenByNewer whether an answer forbids its use that is newer than the list held
     * @param forbiddenByOlder the highest version of an older answer that forbids its use
     */
    private record Listed(Host host, boolean readable, boolean forbiddenByNewer, long forbiddenByOlder) {
        Listed(Host host) {
            this(host, true, false, NOT_FORBIDDEN);
        }

        Listed unreadable() {
            return new Listed(host, false, false, NOT_FORBIDDEN);
        }

        Listed withForbiddenByNewer() {
            return new Listed(host, readable, true, forbiddenByOlder);
        }

        Listed withForbiddenByOlder(long version) {
            return new Listed(host, readable, forbiddenByNewer, Math.max(forbiddenByOlder, version));
        }

        /** An older whole list of this version permits it. */
        Listed withPermittedByOlder(long version) {
            return version < forbiddenByOlder ? this : new Listed(host, readable, forbiddenByNewer, NOT_FORBIDDEN);
        }

        boolean permitted() {
            return readable && !forbiddenByNewer && forbiddenByOlder == NOT_FORBIDDEN;
        }

        Host inForce() {
            ServerEntry e = host.entry();
            if (e.state() != ServerState.READY || permitted()) {
                return host;
            }
            return new Host(new ServerEntry(e.server(), e.zone(), e.cell(), ServerState.DRAINING, e.weight(), e.startedAt()), host.address(),
                host.more());
        }
    }

    /**
     * The effect of an answer.
     *
     * @param list what to put in force: all servers, or those that changed
     * @param changed whether it differs from what was in force
     */
    public record Applied(Verdict verdict, ServerList list, boolean changed) {
        /** Whether the answer is in force as it is. */
        public boolean current() {
            return verdict == Verdict.CURRENT;
        }
    }

    private Map<String, Listed> servers = new LinkedHashMap<>();
    private long version;
    private long newestVersion;
    private boolean acceptsAnyVersion;
    private boolean needsWholeList;
    /** Since {@link #olderSince} no current answer has come, but older whole lists. */
    private boolean olderReceived;
    private long olderSince;

    /** {@code known}: the list that the node starts with. */
    public ServerTable(ServerList known) {
        version = known.seq();
        newestVersion = version;
        known.hosts().forEach(host -> servers.put(host.entry().server(), new Listed(host)));
    }

    /** The version that changes can be applied to. */
    public long version() {
        return version;
    }

    /** Whether changes cannot be applied, so that the whole list has to be requested. */
    public boolean needsWholeList() {
        return needsWholeList;
    }

    /** Whether no server is listed, neither for use nor draining. */
    public boolean isEmpty() {
        return servers.isEmpty();
    }

    /** The servers in force. */
    public ServerList inForce() {
        return new ServerList(version, true, servers.values().stream().map(Listed::inForce).toList());
    }

    /** To be called when discovery is replaced by another one, whose version numbers are independent. */
    public void discoveryReplaced() {
        acceptsAnyVersion = true;
        needsWholeList = true;
        olderReceived = false;
    }

    /** An answer could not be read, so changes may have been missed. */
    public void answerUnreadable() {
        needsWholeList = true;
    }

    /** Applies an answer. */
    public Applied apply(ListUpdate update, long now) {
        Verdict verdict = judge(update, now);
        if (verdict != Verdict.CURRENT) {
            return restrict(update, verdict);
        }
        version = update.version();
        newestVersion = version;
        acceptsAnyVersion = false;
        olderReceived = false;
        needsWholeList = !update.whole() && update.incomplete();
        return update.whole() ? replace(update) : merge(update);
    }

    /**
     * Applies an answer to a call made before another one that has been answered already. Whatever its version, discovery may have taken
     * back since what it permits.
     */
    public Applied applyOvertaken(ListUpdate update) {
        if (acceptsAnyVersion && update.whole()) {
            acceptsAnyVersion = false;
            newestVersion = update.version();
        }
        return restrict(update, Verdict.OVERTAKEN);
    }

    private Verdict judge(ListUpdate update, long now) {
        if (!update.whole()) {
            return needsWholeList || update.version() < version ? Verdict.UNKNOWN_BASE : Verdict.CURRENT;
        }
        if (acceptsAnyVersion || update.version() >= newestVersion) {
            return Verdict.CURRENT;
        }
        if (!olderReceived) {
            olderReceived = true;
            olderSince = now;
        }
        return now - olderSince < DELIVERY_LIMIT ? Verdict.OLDER_LIST : Verdict.CURRENT;
    }

    private Applied replace(ListUpdate update) {
        Map<String, Entry> entries = update.entries();
        Map<String, Listed> next = new LinkedHashMap<>();
        for (Host host : update.hosts()) {
            String server = host.entry().server();
            if (host.entry().state() != ServerState.GONE && entries.get(server).readable()) {
                next.put(server, new Listed(host));
            }
        }
        entries.forEach((server, entry) -> {
            if (!entry.readable() && servers.containsKey(server)) {
                next.put(server, servers.get(server).unreadable());
            }
        });
        boolean changed = !next.equals(servers);
        servers = next;
        return new Applied(Verdict.CURRENT, inForce(), changed);
    }

    private Applied merge(ListUpdate update) {
        List<Host> inForce = new ArrayList<>();
        boolean[] changed = {false};
        update.entries().forEach((server, entry) -> {
            Listed before = servers.get(server);
            Listed next = entry.readable() ? new Listed(entry.host()) : before == null ? null : before.unreadable();
            if (next == null) {
                return;
            }
            if (next.host().entry().state() == ServerState.GONE) {
                servers.remove(server);
            } else {
                servers.put(server, next);
            }
            inForce.add(next.inForce());
            changed[0] |= !next.equals(before);
        });
        return new Applied(Verdict.CURRENT, new ServerList(version, false, inForce), changed[0]);
    }

    /** Takes out of use what the update forbids. An older whole list also permits what an older answer forbade. */
    private Applied restrict(ListUpdate update, Verdict verdict) {
        Map<String, Entry> entries = update.entries();
        boolean newer = update.version() >= newestVersion;
        boolean permitting = verdict == Verdict.OLDER_LIST;
        boolean changed = false;
        for (Map.Entry<String, Listed> each : servers.entrySet()) {
            Listed before = each.getValue();
            Entry told = entries.get(each.getKey());
            Listed next = before;
            if (told == null ? update.whole() : !permits(told, before.host())) {
                next = newer ? before.withForbiddenByNewer() : before.withForbiddenByOlder(update.version());
            } else if (permitting) {
                next = before.withPermittedByOlder(update.version());
            }
            changed |= !next.equals(before);
            each.setValue(next);
        }
        needsWholeList = true;
        newestVersion = Math.max(newestVersion, update.version());
        return new Applied(verdict, inForce(), changed);
    }

    /** Whether the entry names the same start of the server as ready, at the same addresses. */
    private static boolean permits(Entry told, Host held) {
        return told.readable() && told.host().entry().state() == ServerState.READY
            && told.host().entry().startedAt() == held.entry().startedAt()
            && Objects.equals(told.host().address(), held.address()) && told.host().more().equals(held.more());
    }
}
