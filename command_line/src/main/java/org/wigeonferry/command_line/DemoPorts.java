package org.wigeonferry.command_line;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.HashSet;
import java.util.Set;
import org.wigeonferry.core_types.HostAddress;
import org.wigeonferry.core_types.StepException;

/**
 * Finds free ports on the loopback address.
 *
 * <p>Never gives the same port twice. Not thread safe.
 */
public final class DemoPorts {
    private static final String LOOPBACK = "127.0.0.1";

    private final Set<Integer> given = new HashSet<>();

    /** A free address. */
    public HostAddress next() throws StepException {
        try {
            while (true) {
                int port = free();
                if (given.add(port)) {
                    return new HostAddress(LOOPBACK, port);
                }
            }
        } catch (IOException e) {
            throw new StepException("find a free port", LOOPBACK, e);
        }
    }

    private static int free() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(LOOPBACK))) {
            return socket.getLocalPort();
        }
    }
}
