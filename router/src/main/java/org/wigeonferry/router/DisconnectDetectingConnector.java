package org.wigeonferry.router;

import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import org.eclipse.jetty.io.ManagedSelector;
import org.eclipse.jetty.io.SocketChannelEndPoint;
import org.eclipse.jetty.server.HttpConnectionFactory;
import org.eclipse.jetty.server.Server;
import org.wigeonferry.node_runtime.ingress.Ingress;
import org.wigeonferry.node_runtime.ingress.IngressConnector;

/**
 * Accepts connections that detect when their caller disconnects.
 *
 * <p>Thread safe once started.
 */
final class DisconnectDetectingConnector extends IngressConnector {
    private static final int SELECTORS = 1;

    DisconnectDetectingConnector(Server server, Ingress ingress, HttpConnectionFactory factory) {
        super(server, SELECTORS, ingress, factory);
    }

    @Override
    protected SocketChannelEndPoint newEndPoint(
            SocketChannel channel, ManagedSelector selector, SelectionKey key) {
        DisconnectDetectingEndPoint endPoint =
                new DisconnectDetectingEndPoint(
                        channel, selector, key, getScheduler(), ingress(), getExecutor());
        endPoint.setIdleTimeout(getIdleTimeout());
        return endPoint;
    }
}
