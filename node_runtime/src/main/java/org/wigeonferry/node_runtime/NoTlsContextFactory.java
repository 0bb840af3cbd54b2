package org.wigeonferry.node_runtime;

import org.eclipse.jetty.util.ssl.SslContextFactory;

/**
 * A TLS context factory for connections without TLS; loads neither keys nor algorithms.
 *
 * <p>Thread safe.
 */
final class NoTlsContextFactory extends SslContextFactory.Client {
    @Override
    protected void doStart() {
        // Nothing to load: no connection uses TLS.
    }
}
