package org.acaciaport.address;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Static methods that parse addresses of the form IP:PORT, with an IPv4 address.
 *
 * <p>Host names are not addresses here, and nothing is looked up.
 */
public final class SocketAddresses {
    private static final Pattern FORM =
            Pattern.compile("([0-9]{1,3})\\.([0-9]{1,3})\\.([0-9]{1,3})\\.([0-9]{1,3}):([0-9]{1,5})");
    private static final int OCTET_COUNT = 4;
    private static final int MAX_OCTET = 255;
    private static final int MAX_PORT = 65_535;

    private SocketAddresses() {}

    /** Parses an address to listen on, whose port may be 0 for any free one; empty if {@code text} is none. */
    public static Optional<InetSocketAddress> parseLocal(String text) {
        Matcher matcher = FORM.matcher(text);
        if (!matcher.matches()) {
            return Optional.empty();
        }
        byte[] octets = new byte[OCTET_COUNT];
        for (int i = 0; i < OCTET_COUNT; i++) {
            int octet = Integer.parseInt(matcher.group(i + 1));
            if (octet > MAX_OCTET) {
                return Optional.empty();
            }
            octets[i] = (byte) octet;
        }
        int port = Integer.parseInt(matcher.group(OCTET_COUNT + 1));
        return port > MAX_PORT ? Optional.empty() : Optional.of(new InetSocketAddress(toAddress(octets), port));
    }

    /** Parses an address to connect to, of one host and with a port; empty if {@code text} is none. */
    public static Optional<InetSocketAddress> parseRemote(String text) {
        return parseLocal(text).filter(SocketAddresses::isRemote);
    }

    private static boolean isRemote(InetSocketAddress address) {
        InetAddress host = address.getAddress();
        return address.getPort() > 0 && !host.isAnyLocalAddress() && !host.isMulticastAddress();
    }

    /** Returns {@code address} in the form that {@link #parseLocal} reads. */
    public static String toText(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }

    private static InetAddress toAddress(byte[] octets) {
        try {
            return InetAddress.getByAddress(octets);
        } catch (UnknownHostException e) {
            throw new IllegalStateException("an IPv4 address has " + OCTET_COUNT + " octets", e);
        }
    }
}
