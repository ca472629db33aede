package onyxpaddle.serve;

import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import onyxpaddle.distribution.ConfigurationVersion;

/**
 * How a node stands with the configuration of control processes, as it reports it.
 *
 * @param inForce the newest version whose entries are in force; {@code NONE} before the first
 * @param refused the version that was refused last, null where one as new is in force
 * @param fault why, at most {@link #LONGEST_FAULT} characters
 */
public record ConfigurationStatus(ConfigurationVersion inForce, ConfigurationVersion refused, String fault) {
    /** The most characters of a fault that are reported. */
    public static final int LONGEST_FAULT = 300;
    static final ConfigurationStatus NONE = inForce(ConfigurationVersion.NONE);

    static ConfigurationStatus inForce(ConfigurationVersion version) {
        return new ConfigurationStatus(version, null, "");
    }

    /** After a version came into force; one that was refused and is newer stays reported. */
    ConfigurationStatus nowInForce(ConfigurationVersion version) {
        return refused != null && refused.isAfter(version) ? new ConfigurationStatus(version, refused, fault) : inForce(version);
    }

    /** After a version was refused for this reason, of any length. */
    ConfigurationStatus nowRefused(ConfigurationVersion version, String why) {
        return new ConfigurationStatus(inForce, version, why.substring(0, Math.min(LONGEST_FAULT, why.length())));
    }

    /** As parameters of a call, each with {@code &} before it. */
    String parameters() {
        return "&in_force=" + inForce + (refused == null ? ""
            : "&refused=" + refused + "&fault=" + URLEncoder.encode(fault, StandardCharsets.UTF_8));
    }
}
