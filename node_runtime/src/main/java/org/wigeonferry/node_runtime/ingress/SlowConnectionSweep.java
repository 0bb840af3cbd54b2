package org.wigeonferry.node_runtime.ingress;

import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.server.Connector;
import org.eclipse.jetty.util.component.AbstractLifeCycle;
import org.eclipse.jetty.util.thread.Scheduler;

/**
 * Closes connections that are too slow, each second, by a timer of a connector.
 *
 * <p>Thread safe.
 */
final class SlowConnectionSweep extends AbstractLifeCycle {
    private static final long PERIOD_SECONDS = 1;

    private final Ingress ingress;
    private final Connector connector;
    private volatile Scheduler.Task next = () -> false;

    SlowConnectionSweep(Ingress ingress, Connector connector) {
        this.ingress = ingress;
        this.connector = connector;
    }

    @Override
    protected void doStart() {
        scheduleNext();
    }

    @Override
    protected void doStop() {
        next.cancel();
    }

    private void scheduleNext() {
        next = connector.getScheduler().schedule(this::sweep, PERIOD_SECONDS, TimeUnit.SECONDS);
    }

    private void sweep() {
        ingress.closeSlowUnderPressure();
        if (isRunning()) {
            scheduleNext();
        }
    }
}
