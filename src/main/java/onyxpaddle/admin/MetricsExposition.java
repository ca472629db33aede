package onyxpaddle.admin;

import java.util.Collection;
import java.util.Locale;
import onyxpaddle.node.Dispatcher;
import onyxpaddle.node.RequestCounts;
import onyxpaddle.node.RequestCounts.RequestResult;

/** The figures in Prometheus' text exposition format, version 0.0.4, under the names that the operators gave. */
public final class MetricsExposition {
    /** The format's media type. */
    public static final String TYPE = "text/plain; version=0.0.4; charset=utf-8";

    private final StringBuilder text = new StringBuilder(1024);

    private MetricsExposition() {
    }

    /**
     * Of all pools together: a class that several pools have is one.
     *
     * @param tally what the process has counted since its start, over all its configurations
     * @param leaving pools of an earlier configuration that still have requests out
     * @param reloads how many configurations changed the node, {@code failedReloads} how many didn't
     */
    public static String of(RequestCounts tally, Collection<Dispatcher> pools, Collection<Dispatcher> leaving, long reloads,
            long failedReloads) {
        MetricsExposition to = new MetricsExposition();
        to.type("svc_calls_total", "counter", "Requests that have their final answer, by class and by how they ended.");
        for (String name : tally.classes()) {
            for (RequestResult end : RequestResult.values()) {
                to.line("svc_calls_total{tier=\"" + escaped(name) + "\",code=\"" + end.name().toLowerCase(Locale.ROOT)
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
        for (Dispatcher pool : leaving) {
            inflight += pool.unanswered();
        }
        to.one("svc_backend_calls_total", "counter", "Attempts written whole to servers.", tally.attempts());
        to.one("svc_inflight", "gauge", "Requests taken that have no final answer yet.", inflight);
        to.one("svc_hosts_listed", "gauge", "Servers on the list.", listed);
        to.one("svc_hosts_down", "gauge", "Servers on the list that the node avoids now.", down);
        to.one("svc_reconfig_ok_total", "counter", "New configurations that are in force or were.", reloads);
        to.one("svc_reconfig_failed_total", "counter", "New configurations that changed nothing, being at fault.", failedReloads);
        return to.text.toString();
    }

    private void one(String name, String type, String help, long value) {
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

    /** A label's value: backslash, quote and line feed are escaped. */
    static String escaped(String value) {
        return value.replace("\\", "\\\\").replace("\"", "\\\"").replace("\n", "\\n");
    }
}
