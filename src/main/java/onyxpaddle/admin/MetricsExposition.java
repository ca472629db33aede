package onyxpaddle.admin;

import java.util.Collection;
import java.util.Locale;
import onyxpaddle.node.Dispatcher;
import onyxpaddle.node.RequestCounts;
import onyxpaddle.node.RequestCounts.RequestResult;

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
     * @param tally the counts since the start of the process, over all its configurations
     * @param retiredPools pools of earlier configurations that still have requests in flight
     * @param reloads how many new configurations were applied, {@code failedReloads} how many were refused
     */
    public static String of(RequestCounts tally, Collection<Dispatcher> pools, Collection<Dispatcher> retiredPools, long reloads,
            long failedReloads) {
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
        return exposition.text.toString();
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
