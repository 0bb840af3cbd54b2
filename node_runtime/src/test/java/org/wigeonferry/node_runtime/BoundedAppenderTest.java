package org.wigeonferry.node_runtime;

import static org.assertj.core.api.Assertions.assertThat;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.classic.util.LogbackMDCAdapter;
import ch.qos.logback.core.AppenderBase;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;

/**
 * Guards against logging threads that block when nothing reads the log output: events must be
 * dropped and counted while the appender behind the queue is stuck.
 */
class BoundedAppenderTest {
    private static final int QUEUE_CAPACITY = 50;
    private static final int INFO_EVENTS = 10_000;

    private final CountDownLatch appenderReleased = new CountDownLatch(1);
    private final List<String> written = new CopyOnWriteArrayList<>();

    private final AppenderBase<ILoggingEvent> blockedAppender =
            new AppenderBase<>() {
                @Override
                protected void append(ILoggingEvent event) {
                    try {
                        appenderReleased.await();
                    } catch (InterruptedException e) {
                        Thread.currentThread().interrupt();
                    }
                    written.add(event.getMessage());
                }
            };

    @Test
    void dropsAndCountsEventsInsteadOfBlocking() throws Exception {
        LoggerContext context = new LoggerContext();
        context.setMDCAdapter(new LogbackMDCAdapter());
        blockedAppender.setContext(context);
        blockedAppender.start();
        BoundedAppender queue = new BoundedAppender(QUEUE_CAPACITY);
        queue.setContext(context);
        queue.addAppender(blockedAppender);
        queue.start();
        Logger logger = context.getLogger(org.slf4j.Logger.ROOT_LOGGER_NAME);
        logger.setLevel(Level.INFO);
        logger.addAppender(queue);

        long start = System.nanoTime();
        for (int i = 0; i < INFO_EVENTS; i++) {
            logger.info("success");
        }
        logger.warn("failure");
        assertThat(Duration.ofNanos(System.nanoTime() - start)).isLessThan(Duration.ofSeconds(5));
        long dropped = queue.readAndResetDroppedCount();
        assertThat(queue.readAndResetDroppedCount()).isZero();

        appenderReleased.countDown();
        context.stop();
        // The writer thread drains up to a full queue at a time, so that many events may be held by
        // the blocked appender while the queue is full again.
        assertThat(written).contains("failure").hasSizeLessThanOrEqualTo(2 * QUEUE_CAPACITY + 1);
        assertThat(written.size() + dropped).isEqualTo(INFO_EVENTS + 1);
    }
}
