package onyxpaddle.control;

import io.netty.handler.codec.http.QueryStringDecoder;
import java.util.List;
import java.util.Map;
import onyxpaddle.distribution.ConfigurationVersion;
import onyxpaddle.distribution.EntryKey;
import onyxpaddle.distribution.Subscription;

/**
 * A call for configuration.
 *
 * @param replica who asks for everything; null where a node asks
 * @param after what the caller holds
 * @param pageOf of the next page of a whole: the version of its first page; else null
 * @param waitMs how long to wait for news
 * @param inForce the version in force at the node
 * @param refused the last version that the node refused, or {@code NONE}
 * @param fault the first fault of what it refused; empty for none
 */
record ConfigurationRequest(String replica, Subscription subscription, ConfigurationVersion after, ConfigurationVersion pageOf, int waitMs,
        ConfigurationVersion inForce, ConfigurationVersion refused, String fault) {
    /** A caller that waits longer would keep its connection from served that its process is gone. */
    static final int LONGEST_WAIT_MS = 10_000;
    private static final int LONGEST_FAULT = 300;
    private static final int MOST_PARAMETERS = 32;

    static ConfigurationRequest parse(String uri) throws BadRequestException {
        try {
            Map<String, List<String>> query = new QueryStringDecoder(uri, java.nio.charset.StandardCharsets.UTF_8, true, MOST_PARAMETERS)
                .parameters();
            boolean all = "all".equals(text(query, "scope", ""));
            String replica = all ? name(query, "replica") : null;
            Subscription subscription = all ? Subscription.ALL : new Subscription(name(query, "node"), text(query, "service", ""));
            ConfigurationVersion after = new ConfigurationVersion(number(query, "epoch", ConfigurationVersion.MAX),
                number(query, "after", ConfigurationVersion.MAX));
            int waitMs = (int) number(query, "wait_ms", LONGEST_WAIT_MS);
            String fault = text(query, "fault", "").replaceAll("\\p{Cntrl}", "?");
            return new ConfigurationRequest(replica, subscription, after, query.containsKey("page_of") ? version(query, "page_of") : null,
                waitMs, version(query, "in_force"), version(query, "refused"),
                fault.length() > LONGEST_FAULT ? fault.substring(0, LONGEST_FAULT) : fault);
        } catch (IllegalArgumentException e) {
            throw new BadRequestException(e.getMessage());
        }
    }

    /** The caller's name among all. */
    String caller() {
        return replica != null ? "replica " + replica : subscription.node();
    }

    private static String text(Map<String, List<String>> query, String name, String usual) {
        List<String> values = query.get(name);
        if (values != null && values.size() > 1) {
            throw new IllegalArgumentException("`" + name + "` stands twice");
        }
        return values == null ? usual : values.get(0);
    }

    private static String name(Map<String, List<String>> query, String name) {
        String text = text(query, name, "");
        if (!EntryKey.isName(text)) {
            throw new IllegalArgumentException("`" + name + "` is to be a name of lower-case letters, digits and hyphens");
        }
        return text;
    }

    private static ConfigurationVersion version(Map<String, List<String>> query, String name) {
        String text = text(query, name, "");
        return text.isEmpty() ? ConfigurationVersion.NONE : ConfigurationVersion.parse(text);
    }

    private static long number(Map<String, List<String>> query, String name, long most) {
        String text = text(query, name, "0");
        if (!text.matches("[0-9]{1,15}") || Long.parseLong(text) > most) {
            throw new IllegalArgumentException("`" + name + "` is to be a whole number from 0 to " + most);
        }
        return Long.parseLong(text);
    }
}
