package org.wigeonferry.node_runtime;

import org.eclipse.jetty.io.Connection;

/**
 * Runs an action when a connection has been closed.
 *
 * <p>Immutable; as thread safe as the action.
 */
record ClosedListener(Runnable action) implements Connection.Listener {
    @Override
    public void onClosed(Connection connection) {
        action.run();
    }
}
