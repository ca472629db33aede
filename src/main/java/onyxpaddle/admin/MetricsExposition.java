package onyxpaddle.admin;

import java.util.Collection;
import java.util.List;
import java.util.Locale;
import onyxpaddle.node.Dispatcher;
import onyxpaddle.node.NodeDelay;
import onyxpaddle.node.NodeEvent;
import onyxpaddle.node.NodeEvents;
import onyxpaddle.node.RequestCounts;
import onyxpaddle.node.RequestCounts.RequestResult;
import onyxpaddle.node.ServerListStatus;
import onyxpaddle.node.ServerListStatus.Verdict;

/** The node's metrics in the Prometheus text exposition format, version 0.0.4, under the metric names agreed with the operators. */
public final class MetricsExposition {
    /** The format's media type. */
    public static final String TYPE = "text/plain; version=0.0.4; charset=utf-8";

    private final StringBuilder text = new StringBuilder(1024);

    private MetricsExposition() {
    }

    /**
     * The sum over all pools; a class that several pools share is counted once.
     *
     * @param now the time by the node's clock
     * @param tally the counts since the start of the process, over all its configurations
     * @param retiredPools pools of earlier configurations that still have requests in flight
     * @param reloads how many new configurations were applied, {@code failedReloads} how many were refused
     */
    public static String of(long now, RequestCounts tally, Collection<Dispatcher> pools, Collection<Dispatcher> retiredPools,
            long reloads, long failedReloads) {
        MetricsExposition exposition = new MetricsExposition();
        exposition.type("svc_calls_total", "counter", "Requests that have their final answer, by class and by how they ended.");
        for (String name : tally.classes()) {
            for (RequestResult end : RequestResult.values()) {
                exposition.line("svc_calls_total{tier=\"" + escaped(name) + "\",code=\"" + end.name().toLowerCase(Locale.ROOT)
                    + "\"}", tally.count(name, end));
            }
        }
        long inflight = 0;
        long listed = 0;
        long down = 0;
        for (Dispatcher pool : pools) {
            inflight += pool.unanswered();
            listed += pool.fleet().listed();
            down += pool.fleet().avoided();
        }
        for (Dispatcher pool : retiredPools) {
            inflight += pool.unanswered();
        }
        exposition.single("svc_backend_calls_total", "counter", "Attempts written whole to servers.", tally.attempts());
        exposition.single("svc_inflight", "gauge", "Requests taken that have no final answer yet.", inflight);
        exposition.single("svc_hosts_listed", "gauge", "Servers on the list.", listed);
        exposition.single("svc_hosts_down", "gauge", "Servers on the list that the node avoids now.", down);
        exposition.single("svc_reconfig_ok_total", "counter", "New configurations that are in force or were.", reloads);
        exposition.single("svc_reconfig_failed_total", "counter", "New configurations that changed nothing, being at fault.",
            failedReloads);
        exposition.lists(pools, now);
        exposition.events(tally.events());
        exposition.delays(tally.events(), now);
        return exposition.text.toString();
    }

    private void lists(Collection<Dispatcher> pools, long now) {
        List<ServerListStatus> statuses = pools.stream().map(Dispatcher::listStatus).toList();
        type("svc_lists_total", "counter", "Answers of discovery, by what became of them.");
        for (Verdict verdict : Verdict.values()) {
            line("svc_lists_total{verdict=\"" + verdict.label() + "\"}", statuses.stream().mapToLong(s -> s.total(verdict)).sum());
        }
        single("svc_list_invalid_entries_total", "counter", "Entries of lists that could not be read.",
            statuses.stream().mapToLong(ServerListStatus::invalidEntries).sum());
        single("svc_list_age_milliseconds", "gauge", "Time since discovery last confirmed or changed the list in force.",
            statuses.stream().mapToLong(s -> s.age(now)).max().orElse(0) / 1_000_000);
        single("svc_list_doubt_milliseconds", "gauge", "Age of the oldest news from discovery that is not in force.",
            statuses.stream().mapToLong(s -> s.doubt(now)).max().orElse(0) / 1_000_000);
    }

    private void events(NodeEvents events) {
        type("svc_events_total", "counter", "Closed connections, further attempts, attempts not begun and refusals, by reason.");
        for (NodeEvent event : NodeEvent.values()) {
            line("svc_events_total{kind=\"" + event.kind().label() + "\",reason=\"" + event.label() + "\"}", events.total(event));
        }
    }

    private void delays(NodeEvents events, long now) {
        type("svc_long_delays_total", "counter", "Delays of 0.1 s and more that the node measured on itself.");
        for (NodeDelay delay : NodeDelay.values()) {
            line("svc_long_delays_total{delay=\"" + delay.label() + "\"}", events.longDelays(delay));
        }
        type("svc_longest_delay_microseconds", "gauge", "The longest such delay of about the last minute.");
        for (NodeDelay delay : NodeDelay.values()) {
            line("svc_longest_delay_microseconds{delay=\"" + delay.label() + "\"}", events.longest(delay, now) / 1_000);
        }
    }

    private void single(String name, String type, String help, long value) {
        type(name, type, help);
        line(name, value);
    }

    private void type(String name, String type, String help) {
        text.append("# HELP ").append(name).append(' ').append(help).append("\n# TYPE ").append(name).append(' ').append(type)
            .append('\n');
    }

    private void line(String series, long value) {
        text.append(series).append(' ').append(value).append('\n');
    }

    /** Escapes backslash, quote and line feed in a label value. */
    static String escaped(String value) {
        return value.replace("\\", "\\\\").replace("\"", "\\\"").replace("\n", "\\n");
    }
}
