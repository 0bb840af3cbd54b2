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

/** A reader of the logs that has stopped must not make a thread wait. */
class BoundedAppenderTest {
    private static final int QUEUE = 50;
    private static final int LINES = 10_000;

    private final CountDownLatch reads = new CountDownLatch(1);
    private final List<String> written = new CopyOnWriteArrayList<>();

    private final AppenderBase<ILoggingEvent> stopped =
            new AppenderBase<>() {
                @Override
                protected void append(ILoggingEvent event) {
                    try {
                        reads.await();
                    } catch (InterruptedException e) {
                        Thread.currentThread().interrupt();
                    }
                    written.add(event.getMessage());
                }
            };

    @Test
    void dropsAndCountsRatherThanWaits() throws Exception {
        LoggerContext context = new LoggerContext();
        context.setMDCAdapter(new LogbackMDCAdapter());
        stopped.setContext(context);
        stopped.start();
        BoundedAppender queue = new BoundedAppender(QUEUE);
        queue.setContext(context);
        queue.addAppender(stopped);
        queue.start();
        Logger logger = context.getLogger(org.slf4j.Logger.ROOT_LOGGER_NAME);
        logger.setLevel(Level.INFO);
        logger.addAppender(queue);

        long start = System.nanoTime();
        for (int i = 0; i < LINES; i++) {
            logger.info("success");
        }
        logger.warn("failure");
        assertThat(Duration.ofNanos(System.nanoTime() - start)).isLessThan(Duration.ofSeconds(5));
        long dropped = queue.readAndResetDroppedCount();
        assertThat(queue.readAndResetDroppedCount()).isZero();

        reads.countDown();
        context.stop();
        // The writer takes a queue's worth at a time, so twice that many may be on their way.
        assertThat(written).contains("failure").hasSizeLessThanOrEqualTo(2 * QUEUE + 1);
        assertThat(written.size() + dropped).isEqualTo(LINES + 1);
    }
}
