package org.wigeonferry.node_runtime;

import ch.qos.logback.classic.AsyncAppender;
import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.encoder.JsonEncoder;
import ch.qos.logback.classic.encoder.PatternLayoutEncoder;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.ConsoleAppender;
import ch.qos.logback.core.encoder.Encoder;
import org.slf4j.LoggerFactory;

/**
 * Sets up logs: to standard error, as text or as JSON.
 *
 * <p>Stateless; called once, before other threads start.
 */
public final class LoggingSetup {
    /** Lines that wait for standard output; below a fifth of room, lines up to INFO are dropped. */
    private static final int QUEUE_LINES = 2048;

    private static final String PATTERN = "%d{HH:mm:ss.SSS} %-5level %logger{0} %msg %kvp%n%ex";

    private LoggingSetup() {}

    /** Replaces the set-up of the logs. */
    public static void apply(boolean json) {
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

    /** Logs JSON lines to standard output; drops lines rather than make a thread wait. */
    public static void structured() {
        LoggerContext context = (LoggerContext) LoggerFactory.getILoggerFactory();
        context.reset();
        ConsoleAppender<ILoggingEvent> appender = new ConsoleAppender<>();
        appender.setContext(context);
        appender.setEncoder(lineEncoder(context));
        appender.start();
        AsyncAppender queue = new AsyncAppender();
        queue.setContext(context);
        queue.setQueueSize(QUEUE_LINES);
        queue.setNeverBlock(true);
        queue.addAppender(appender);
        queue.start();
        Logger root = context.getLogger(org.slf4j.Logger.ROOT_LOGGER_NAME);
        root.setLevel(Level.INFO);
        root.addAppender(queue);
        context.getLogger("org.eclipse.jetty").setLevel(Level.WARN);
    }

    private static Encoder<ILoggingEvent> lineEncoder(LoggerContext context) {
        JsonEncoder encoder = new JsonEncoder();
        encoder.setContext(context);
        encoder.setWithContext(false);
        encoder.setWithSequenceNumber(false);
        encoder.setWithNanoseconds(false);
        encoder.setWithMarkers(false);
        encoder.setWithMDC(false);
        encoder.setWithArguments(false);
        encoder.setWithMessage(true);
        encoder.start();
        return encoder;
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
