package onyxpaddle.control;

import io.netty.handler.codec.http.QueryStringDecoder;
import java.util.List;
import java.util.Map;
import onyxpaddle.distribution.ConfigurationVersion;
import onyxpaddle.distribution.EntryKey;
import onyxpaddle.distribution.Subscription;

/**
 * A request for configuration from a node or a replica.
 *
 * @param replica the id of a replica that requests all entries; null for a node
 * @param after the version that the caller holds
 * @param pageOf for a further page of a full update, the version of its first page; else null
 * @param waitMs how long to wait for a newer version
 * @param inForce the version in force at the node
 * @param refused the last version that the node refused, or {@code NONE}
 * @param fault the first fault in the refused version; empty for none
 */
record ConfigurationRequest(String replica, Subscription subscription, ConfigurationVersion after, ConfigurationVersion pageOf, int waitMs,
        ConfigurationVersion inForce, ConfigurationVersion refused, String fault) {
    /** A longer wait would delay the caller's detection that the control process is gone. */
    static final int MAX_WAIT_MS = 10_000;
    private static final int MAX_FAULT_LENGTH = 300;
    private static final int MAX_PARAMETERS = 32;

    static ConfigurationRequest parse(String uri) throws BadRequestException {
        try {
            Map<String, List<String>> query = new QueryStringDecoder(uri, java.nio.charset.StandardCharsets.UTF_8, true, MAX_PARAMETERS)
                .parameters();
            boolean all = "all".equals(text(query, "scope", ""));
            String replica = all ? name(query, "replica") : null;
            Subscription subscription = all ? Subscription.ALL : new Subscription(name(query, "node"), text(query, "service", ""));
            ConfigurationVersion after = new ConfigurationVersion(number(query, "epoch", ConfigurationVersion.MAX),
                number(query, "after", ConfigurationVersion.MAX));
            int waitMs = (int) number(query, "wait_ms", MAX_WAIT_MS);
            String fault = text(query, "fault", "").replaceAll("\\p{Cntrl}", "?");
            return new ConfigurationRequest(replica, subscription, after, query.containsKey("page_of") ? version(query, "page_of") : null,
                waitMs, version(query, "in_force"), version(query, "refused"),
                fault.length() > MAX_FAULT_LENGTH ? fault.substring(0, MAX_FAULT_LENGTH) : fault);
        } catch (IllegalArgumentException e) {
            throw new BadRequestException(e.getMessage());
        }
    }

    /** Returns a name that is unique among nodes and replicas. */
    String callerName() {
        return replica != null ? "replica " + replica : subscription.node();
    }

    private static String text(Map<String, List<String>> query, String name, String defaultValue) {
        List<String> values = query.get(name);
        if (values != null && values.size() > 1) {
            throw new IllegalArgumentException("`" + name + "` is given twice");
        }
        return values == null ? defaultValue : values.get(0);
    }

    private static String name(Map<String, List<String>> query, String name) {
        String text = text(query, name, "");
        if (!EntryKey.isName(text)) {
            throw new IllegalArgumentException("`" + name + "` must be a name of lower-case letters, digits and hyphens");
        }
        return text;
    }

    private static ConfigurationVersion version(Map<String, List<String>> query, String name) {
        String text = text(query, name, "");
        return text.isEmpty() ? ConfigurationVersion.NONE : ConfigurationVersion.parse(text);
    }

    private static long number(Map<String, List<String>> query, String name, long max) {
        String text = text(query, name, "0");
        if (!text.matches("[0-9]{1,15}") || Long.parseLong(text) > max) {
            throw new IllegalArgumentException("`" + name + "` must be an integer from 0 to " + max);
        }
        return Long.parseLong(text);
    }
}
