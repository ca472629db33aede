package onyxpaddle.config;

import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A numeric IP address and a port. */
public record HostPort(String host, int port) implements Comparable<HostPort> {
    private static final Pattern V4 = Pattern.compile("(\\d{1,3})\\.(\\d{1,3})\\.(\\d{1,3})\\.(\\d{1,3}):(\\d{1,5})");
    private static final Pattern V6 = Pattern.compile("\\[([0-9A-Fa-f:.]{2,45})\\]:(\\d{1,5})");

    /** Reads {@code 127.0.0.1:80} or {@code [::1]:80}; returns null if the text is neither. */
    public static HostPort parse(String text) {
        Matcher four = V4.matcher(text);
        Matcher six = V6.matcher(text);
        String port;
        String host;
        if (four.matches()) {
            for (int i = 1; i <= 4; i++) {
                if (Integer.parseInt(four.group(i)) > 255 || four.group(i).length() > 1 && four.group(i).startsWith("0")) {
                    return null;
                }
            }
            host = text.substring(0, text.lastIndexOf(':'));
            port = four.group(5);
        } else if (six.matches() && isIpv6(six.group(1))) {
            host = six.group(1).toLowerCase(java.util.Locale.ROOT);
            port = six.group(2);
        } else {
            return null;
        }
        int number = Integer.parseInt(port);
        return number > 65535 ? null : new HostPort(host, number);
    }

    /** Checks IPv6 syntax (RFC 4291, 2.2): eight groups of hex digits, or fewer with one {@code ::} for omitted zeros. */
    private static boolean isIpv6(String text) {
        int gap = text.indexOf("::");
        if (gap >= 0 && text.indexOf("::", gap + 1) >= 0 || text.contains(".") || text.contains(":::")) {
            return false;
        }
        int groups = 0;
        for (String group : text.replace("::", ":").split(":", -1)) {
            if (group.length() > 4) {
                return false;
            }
            groups += group.isEmpty() ? 0 : 1;
        }
        boolean singleColonAtEnd = text.startsWith(":") && !text.startsWith("::") || text.endsWith(":") && !text.endsWith("::");
        return !singleColonAtEnd && (gap >= 0 ? groups < 8 : groups == 8);
    }

    /** Whether this is the wildcard address. */
    public boolean any() {
        return host.equals("0.0.0.0") || host.equals("::");
    }

    /** Whether listeners on both addresses would conflict. A wildcard address covers IPv4 and IPv6 alike. */
    public boolean conflictsWith(HostPort other) {
        return port == other.port && port != 0 && (any() || other.any() || host.equals(other.host));
    }

    /** Whether a connection made on this machine to this address reaches a listener at the other one. */
    public boolean reaches(HostPort listener) {
        boolean here = host.startsWith("127.") || host.equals("::1") || any();
        return port == listener.port && (host.equals(listener.host) || here && listener.any()
            || any() && (listener.host.startsWith("127.") || listener.host.equals("::1")));
    }

    @Override
    public int compareTo(HostPort other) {
        int byHost = host.compareTo(other.host);
        return byHost != 0 ? byHost : Integer.compare(port, other.port);
    }

    @Override
    public String toString() {
        return host.contains(":") ? "[" + host + "]:" + port : host + ":" + port;
    }
}
