package onyxpaddle.node;

import io.netty.util.NetUtil;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;

/** Addresses as they stand in texts: {@code 10.0.0.4:8080} or {@code [::1]:8080}. */
public final class Addresses {
    private Addresses() {
    }

    /** An address in digits; names are not looked up, as there is no DNS and a look-up would block. */
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
            throw new IOException("not an address and port: " + text);
        }
        return new InetSocketAddress(InetAddress.getByAddress(bytes), port);
    }

    /** The address of digits that were checked before. */
    public static InetSocketAddress of(String digits, int port) {
        try {
            return new InetSocketAddress(InetAddress.getByAddress(NetUtil.createByteArrayFromIpAddressString(digits)),
                port);
        } catch (IOException e) {
            throw new IllegalArgumentException("not an address: " + digits, e);
        }
    }
}
