package org.wigeonferry.node_runtime;

import java.nio.channels.SelectableChannel;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import org.eclipse.jetty.io.ClientConnector;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.io.ManagedSelector;
import org.eclipse.jetty.util.ssl.SslContextFactory;

/**
 * Opens connections without TLS on which a TCP reset is a failure and not the end of the stream.
 *
 * <p>Loads no TLS classes or keys, because that would take the largest part of the start time.
 *
 * <p>Thread safe once started.
 */
final class ResetDetectingConnector extends ClientConnector {
    @Override
    protected EndPoint newEndPoint(
            SelectableChannel channel, ManagedSelector selector, SelectionKey key) {
        return new ResetDetectingEndPoint((SocketChannel) channel, selector, key, getScheduler());
    }

    @Override
    protected SslContextFactory.Client newSslContextFactory() {
        return new NoTlsContextFactory();
    }
}
