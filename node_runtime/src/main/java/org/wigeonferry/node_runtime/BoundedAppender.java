package org.wigeonferry.node_runtime;

import ch.qos.logback.classic.AsyncAppender;
import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.spi.ILoggingEvent;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Queues log events for a writer thread. Drops and counts events that it can't queue, so that a
 * thread that logs never waits.
 *
 * <p>While less than a fifth of the queue is free, accepts only warnings and errors. Thread safe.
 */
final class BoundedAppender extends AsyncAppender {
    private final AtomicLong droppedCount = new AtomicLong();

    BoundedAppender(int queueCapacity) {
        setQueueSize(queueCapacity);
        setDiscardingThreshold(queueCapacity / 5);
        setNeverBlock(true);
    }

    /** Returns how many events were dropped since the last call. */
    long readAndResetDroppedCount() {
        return droppedCount.getAndSet(0);
    }

    @Override
    protected void append(ILoggingEvent event) {
        boolean nearlyFull = getRemainingCapacity() < getDiscardingThreshold();
        boolean discardable = event.getLevel().toInt() <= Level.INFO_INT;
        if (getRemainingCapacity() == 0 || (nearlyFull && discardable)) {
            droppedCount.incrementAndGet();
            return;
        }
        super.append(event);
    }
}
