package org.wigeonferry.node_runtime;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.encoder.JsonEncoder;
import ch.qos.logback.classic.encoder.PatternLayoutEncoder;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.ConsoleAppender;
import ch.qos.logback.core.encoder.Encoder;
import java.util.function.LongSupplier;
import org.slf4j.LoggerFactory;

/**
 * Configures logging: to standard error as text or JSON, or to standard output as JSON lines
 * through a bounded queue.
 *
 * <p>Stateless; called once, before other threads start.
 */
public final class LoggingSetup {
    /** Maximum number of log events that wait for standard output. */
    private static final int QUEUE_CAPACITY = 2048;

    private static final String PATTERN = "%d{HH:mm:ss.SSS} %-5level %logger{0} %msg %kvp%n%ex";

    private LoggingSetup() {}

    /** Replaces the logging configuration: logs to standard error, as JSON if {@code json}. */
    public static void logToStderr(boolean json) {
        LoggerContext context = (LoggerContext) LoggerFactory.getILoggerFactory();
        context.reset();
        ConsoleAppender<ILoggingEvent> appender = new ConsoleAppender<>();
        appender.setContext(context);
        appender.setTarget("System.err");
        appender.setEncoder(json ? jsonEncoder(context) : textEncoder(context));
        appender.start();
        Logger root = context.getLogger(org.slf4j.Logger.ROOT_LOGGER_NAME);
        root.setLevel(Level.INFO);
        root.addAppender(appender);
        context.getLogger("org.eclipse.jetty").setLevel(Level.WARN);
    }

    /**
     * Replaces the logging configuration: logs JSON lines to standard output. Drops lines if the
     * queue is full, so that no thread that logs waits.
     *
     * @return a supplier of the number of lines dropped since its last call
     */
    public static LongSupplier logJsonLinesToStdout() {
        LoggerContext context = (LoggerContext) LoggerFactory.getILoggerFactory();
        context.reset();
        ConsoleAppender<ILoggingEvent> appender = new ConsoleAppender<>();
        appender.setContext(context);
        appender.setEncoder(new JsonLineEncoder());
        appender.start();
        BoundedAppender queue = new BoundedAppender(QUEUE_CAPACITY);
        queue.setContext(context);
        queue.addAppender(appender);
        queue.start();
        Logger root = context.getLogger(org.slf4j.Logger.ROOT_LOGGER_NAME);
        root.setLevel(Level.INFO);
        root.addAppender(queue);
        context.getLogger("org.eclipse.jetty").setLevel(Level.WARN);
        return queue::readAndResetDroppedCount;
    }

    private static Encoder<ILoggingEvent> jsonEncoder(LoggerContext context) {
        JsonEncoder encoder = new JsonEncoder();
        encoder.setContext(context);
        encoder.start();
        return encoder;
    }

    private static Encoder<ILoggingEvent> textEncoder(LoggerContext context) {
        PatternLayoutEncoder encoder = new PatternLayoutEncoder();
        encoder.setContext(context);
        encoder.setPattern(PATTERN);
        encoder.start();
        return encoder;
    }
}
