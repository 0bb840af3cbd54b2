package org.wigeonferry.node_runtime;

import java.time.Duration;

/**
 * A process that runs until it is stopped.
 *
 * <p>Implementations are thread safe.
 */
public interface Daemon {
    /**
     * Prepares a planned stop: makes the readiness check fail, if there is one, refuses new work,
     * and waits at most {@code timeout} for work in flight. An entry still accepts requests for a
     * grace period, so that callers notice the failed check first.
     */
    void drain(Duration timeout);

    /** Stops the servers, clients and threads of the process. */
    void stop();
}
