package org.banyanspoke.core.net;

import java.util.Optional;

/**
 * IPv4 address and TCP port.
 *
 * @param ip address in dotted decimal form
 * @param port port, from 1 to 65535
 */
public record IpEndpoint(String ip, int port) {
    private static final int OCTETS = 4;
    private static final int MAX_OCTET = 255;
    private static final int MAX_PORT = 65_535;
    /** Digits of the largest octet and port; longer numbers are not parsed. */
    private static final int MAX_OCTET_DIGITS = 3;

    private static final int MAX_PORT_DIGITS = 5;

    /**
     * Parses {@code ip:port}.
     *
     * @throws IllegalArgumentException if the text is not an IPv4 address and a port from 1 to 65535
     */
    public static IpEndpoint parse(String text) {
        return tryParse(text)
                .orElseThrow(() -> new IllegalArgumentException("address \"" + text + "\" is not ip:port"));
    }

    /** Parses {@code ip:port}; empty if the text is not an IPv4 address and a port from 1 to 65535. */
    public static Optional<IpEndpoint> tryParse(String text) {
        int colon = text.lastIndexOf(':');
        if (colon < 0 || !isIpv4(text.substring(0, colon))) {
            return Optional.empty();
        }
        int port = parseDigits(text.substring(colon + 1), MAX_PORT_DIGITS);
        return port < 1 || port > MAX_PORT
                ? Optional.empty()
                : Optional.of(new IpEndpoint(text.substring(0, colon), port));
    }

    private static boolean isIpv4(String text) {
        String[] octets = text.split("\\.", -1);
        if (octets.length != OCTETS) {
            return false;
        }
        for (String octet : octets) {
            int value = parseDigits(octet, MAX_OCTET_DIGITS);
            if (value < 0 || value > MAX_OCTET) {
                return false;
            }
        }
        return true;
    }

    /** Returns the value of up to {@code maxDigits} decimal digits; -1 if the text is anything else. */
    private static int parseDigits(String text, int maxDigits) {
        if (text.isEmpty() || text.length() > maxDigits) {
            return -1;
        }
        int value = 0;
        for (int i = 0; i < text.length(); i++) {
            char digit = text.charAt(i);
            if (digit < '0' || digit > '9') {
                return -1;
            }
            value = 10 * value + (digit - '0');
        }
        return value;
    }

    /** Returns {@code ip:port}. */
    @Override
    public String toString() {
        return ip + ":" + port;
    }
}
