package org.wigeonferry.router;

import java.util.concurrent.Executor;
import java.util.concurrent.RejectedExecutionException;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.wigeonferry.node_runtime.NodeMetrics;

/**
 * Runs the tasks that read requests and write responses. Tasks that are submitted after the threads
 * have stopped are counted and dropped.
 *
 * <p>The connections that such tasks would write to are already closed by then. Thread safe.
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
    public void execute(Runnable task) {
        try {
            threads.execute(task);
        } catch (RejectedExecutionException e) {
            metrics.count("work_after_stop");
            LOG.debug("work dropped, since the traffic threads have stopped", e);
        }
    }
}
