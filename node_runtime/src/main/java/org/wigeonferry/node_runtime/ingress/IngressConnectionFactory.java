package org.wigeonferry.node_runtime.ingress;

import org.eclipse.jetty.io.Connection;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.server.Connector;
import org.eclipse.jetty.server.HttpConfiguration;
import org.eclipse.jetty.server.HttpConnectionFactory;

/**
 * Creates HTTP/1.1 connections whose heads are limited.
 *
 * <p>Thread safe.
 */
public final class IngressConnectionFactory extends HttpConnectionFactory {
    /** Creates a factory. */
    public IngressConnectionFactory(HttpConfiguration configuration) {
        super(configuration);
    }

    @Override
    public Connection newConnection(Connector connector, EndPoint endPoint) {
        IngressHttpConnection connection =
                new IngressHttpConnection(getHttpConfiguration(), connector, endPoint);
        connection.setUseInputDirectByteBuffers(isUseInputDirectByteBuffers());
        connection.setUseOutputDirectByteBuffers(isUseOutputDirectByteBuffers());
        return configure(connection, connector, endPoint);
    }
}
