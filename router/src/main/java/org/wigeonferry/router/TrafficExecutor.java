package org.wigeonferry.router;

import java.util.concurrent.Executor;
import java.util.concurrent.RejectedExecutionException;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.wigeonferry.node_runtime.NodeMetrics;

/**
 * Runs work that carries bytes; after the stop it counts what comes too late and drops it.
 *
 * <p>The connections that such work would write to are closed by then. Thread safe.
 */
final class TrafficExecutor implements Executor {
    private static final Logger LOG = LoggerFactory.getLogger("process");

    private final Executor threads;
    private final NodeMetrics metrics;

    TrafficExecutor(Executor threads, NodeMetrics metrics) {
        this.threads = threads;
        this.metrics = metrics;
    }

    @Override
    public void execute(Runnable work) {
        try {
            threads.execute(work);
        } catch (RejectedExecutionException e) {
            metrics.count("work_after_stop");
            LOG.debug("work dropped, since the traffic threads have stopped", e);
        }
    }
}
