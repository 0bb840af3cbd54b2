package org.wigeonferry.core_types;

/**
 * Address at which a process listens.
 *
 * <p>Immutable and thread safe.
 *
 * @param host an IP address; its syntax is not checked
 * @param port 1 to 65535
 */
public record HostAddress(String host, int port) {
    public HostAddress {

        if (port < 1 || port > 65535) {
            throw new IllegalArgumentException("port must be 1 to 65535, was " + port);
        }
    }

    /**
     * Parses {@code host:port}.
     *
     * @throws IllegalArgumentException if host or port is missing, or the port is not a whole
     *     number from 1 to 65535
     */
    public static HostAddress parse(String text) {
        int colon = text.lastIndexOf(':');
        if (colon < 1) {
            throw new IllegalArgumentException("expected host:port, found " + text);
        }
        return new HostAddress(
                text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
    }

    @Override
    public String toString() {
        return host + ":" + port;
    }
}
