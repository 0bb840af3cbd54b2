package org.wigeonferry.node_runtime;

import java.time.Duration;

/**
 * A process that runs until it is told to stop.
 *
 * <p>Implementations are thread safe.
 */
public interface Daemon {
    /** Turns readiness red, refuses new work, and waits for work in flight up to the deadline. */
    void drain(Duration deadline);

    /** Closes what is open. */
    void stop();
}
