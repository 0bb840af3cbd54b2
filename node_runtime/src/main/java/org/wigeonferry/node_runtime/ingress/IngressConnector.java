package org.wigeonferry.node_runtime.ingress;

import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import org.eclipse.jetty.io.ManagedSelector;
import org.eclipse.jetty.io.SocketChannelEndPoint;
import org.eclipse.jetty.server.ConnectionFactory;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;

/**
 * Accepts connections within the limits of an {@link Ingress}.
 *
 * <p>Thread safe once started.
 */
public class IngressConnector extends ServerConnector {
    private static final int ACCEPTORS = 1;

    private final Ingress ingress;

    /** Creates a connector with one acceptor. */
    public IngressConnector(
            Server server, int selectors, Ingress ingress, ConnectionFactory... factories) {
        super(server, ACCEPTORS, selectors, factories);
        this.ingress = ingress;
        addBean(new SlowConnectionSweep(ingress, this));
    }

    /** The limits of the connections. */
    protected Ingress ingress() {
        return ingress;
    }

    @Override
    protected SocketChannelEndPoint newEndPoint(
            SocketChannel channel, ManagedSelector selector, SelectionKey key) {
        IngressEndPoint endPoint =
                new IngressEndPoint(channel, selector, key, getScheduler(), ingress, getExecutor());
        endPoint.setIdleTimeout(getIdleTimeout());
        return endPoint;
    }
}
