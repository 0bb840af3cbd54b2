package org.wigeonferry.node_runtime;

import org.eclipse.jetty.util.ssl.SslContextFactory;

/**
 * Stands in for a TLS set-up that nobody uses: it loads neither keys nor algorithms.
 *
 * <p>Thread safe.
 */
final class NoTlsContextFactory extends SslContextFactory.Client {
    @Override
    protected void doStart() {
        // Nothing to load: connections are plain.
    }
}
