package onyxpaddle.node;

import io.netty.util.NetUtil;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;

/** Parses socket addresses such as {@code 10.0.0.4:8080} or {@code [::1]:8080}. */
public final class Addresses {
    private Addresses() {
    }

    /** Parses an IP address with a port. Host names are rejected: there is no DNS, and a lookup would block the event loop. */
    public static InetSocketAddress parse(String text) throws IOException {
        int colon = text.lastIndexOf(':');
        String host = text.substring(0, Math.max(0, colon)).replaceAll("^\\[|\\]$", "");
        byte[] bytes = NetUtil.createByteArrayFromIpAddressString(host);
        int port;
        try {
            port = Integer.parseInt(text.substring(colon + 1));
        } catch (NumberFormatException e) {
            port = -1;
        }
        if (bytes == null || port < 0 || port > 65535) {
            throw new IOException("not an IP address with a port: " + text);
        }
        return new InetSocketAddress(InetAddress.getByAddress(bytes), port);
    }

    /** Builds an address from an IP address that was validated before. */
    public static InetSocketAddress of(String literal, int port) {
        try {
            return new InetSocketAddress(InetAddress.getByAddress(NetUtil.createByteArrayFromIpAddressString(literal)),
                port);
        } catch (IOException e) {
            throw new IllegalArgumentException("not an IP address: " + literal, e);
        }
    }
}
