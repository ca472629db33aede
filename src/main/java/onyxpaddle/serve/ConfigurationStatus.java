package onyxpaddle.serve;

import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import onyxpaddle.distribution.ConfigurationVersion;

/**
 * The status of the distributed configuration at a node, as reported to the control processes.
 *
 * @param inForce the newest version whose entries are in force; {@code NONE} before the first
 * @param refused the version that was refused last; null once the same or a newer one is in force
 * @param fault why it was refused, at most {@link #MAX_FAULT_LENGTH} characters
 */
public record ConfigurationStatus(ConfigurationVersion inForce, ConfigurationVersion refused, String fault) {
    public static final int MAX_FAULT_LENGTH = 300;
    static final ConfigurationStatus NONE = inForce(ConfigurationVersion.NONE);

    static ConfigurationStatus inForce(ConfigurationVersion version) {
        return new ConfigurationStatus(version, null, "");
    }

    /** The status after {@code version} came into force; a refused version that is newer stays reported. */
    ConfigurationStatus withInForce(ConfigurationVersion version) {
        return refused != null && refused.isAfter(version) ? new ConfigurationStatus(version, refused, fault) : inForce(version);
    }

    /** The status after {@code version} was refused; a longer reason is truncated. */
    ConfigurationStatus withRefused(ConfigurationVersion version, String reason) {
        return new ConfigurationStatus(inForce, version, reason.substring(0, Math.min(MAX_FAULT_LENGTH, reason.length())));
    }

    /** The status as URI query parameters, each preceded by {@code &}. */
    String toQueryParameters() {
        return "&in_force=" + inForce + (refused == null ? ""
            : "&refused=" + refused + "&fault=" + URLEncoder.encode(fault, StandardCharsets.UTF_8));
    }
}
