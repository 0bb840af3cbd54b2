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
 * Sets up logs: to standard error as text or as JSON, or to standard output as bounded JSON lines.
 *
 * <p>Stateless; called once, before other threads start.
 */
public final class LoggingSetup {
    /** Lines that wait for standard output. */
    private static final int QUEUE_LINES = 2048;

    private static final String PATTERN = "%d{HH:mm:ss.SSS} %-5level %logger{0} %msg %kvp%n%ex";

    private LoggingSetup() {}

    /** Replaces the set-up of the logs. */
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
     * Logs JSON lines to standard output; drops lines rather than make a thread wait.
     *
     * @return tells the lines dropped since it was last asked
     */
    public static LongSupplier logJsonLinesToStdout() {
        LoggerContext context = (LoggerContext) LoggerFactory.getILoggerFactory();
        context.reset();
        ConsoleAppender<ILoggingEvent> appender = new ConsoleAppender<>();
        appender.setContext(context);
        appender.setEncoder(new JsonLineEncoder());
        appender.start();
        BoundedAppender queue = new BoundedAppender(QUEUE_LINES);
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
