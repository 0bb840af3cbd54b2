package org.wigeonferry.router;

import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import org.eclipse.jetty.io.ManagedSelector;
import org.eclipse.jetty.io.SocketChannelEndPoint;
import org.eclipse.jetty.server.HttpConnectionFactory;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;

/**
 * Accepts connections that detect when their caller disconnects.
 *
 * <p>Thread safe once started.
 */
final class DisconnectDetectingConnector extends ServerConnector {
    private static final int ACCEPTORS = 1;
    private static final int SELECTORS = 1;

    DisconnectDetectingConnector(Server server, HttpConnectionFactory factory) {
        super(server, ACCEPTORS, SELECTORS, factory);
    }

    @Override
    protected SocketChannelEndPoint newEndPoint(
            SocketChannel channel, ManagedSelector selector, SelectionKey key) {
        DisconnectDetectingEndPoint endPoint =
                new DisconnectDetectingEndPoint(channel, selector, key, getScheduler());
        endPoint.setIdleTimeout(getIdleTimeout());
        return endPoint;
    }
}
