package org.wigeonferry.node_runtime;

import ch.qos.logback.classic.AsyncAppender;
import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.spi.ILoggingEvent;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Hands log events to a thread that writes them; drops rather than waits, and counts what it drops.
 *
 * <p>While less than a fifth of the queue is free, only warnings and errors are taken. Thread safe.
 */
final class BoundedAppender extends AsyncAppender {
    private final AtomicLong dropped = new AtomicLong();

    BoundedAppender(int lines) {
        setQueueSize(lines);
        setDiscardingThreshold(lines / 5);
        setNeverBlock(true);
    }

    /** Lines dropped since the last call. */
    long readAndResetDroppedCount() {
        return dropped.getAndSet(0);
    }

    @Override
    protected void append(ILoggingEvent event) {
        boolean scarce = getRemainingCapacity() < getDiscardingThreshold();
        boolean discardable = event.getLevel().toInt() <= Level.INFO_INT;
        if (getRemainingCapacity() == 0 || (scarce && discardable)) {
            dropped.incrementAndGet();
            return;
        }
        super.append(event);
    }
}
