package org.acaciaport.program;

import ch.qos.logback.classic.AsyncAppender;
import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.encoder.JsonEncoder;
import ch.qos.logback.classic.encoder.PatternLayoutEncoder;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.ConsoleAppender;
import ch.qos.logback.core.encoder.Encoder;
import java.util.concurrent.atomic.AtomicLong;
import org.slf4j.LoggerFactory;

/**
 * Sets up logging to standard output, as text or as one JSON object a line.
 *
 * <p>Lines wait in a queue of {@value #QUEUE_LINES}; further ones are dropped and counted, so that a slow reader never
 * blocks the program.
 */
public final class Logs {
    private static final String TEXT = "%d{yyyy-MM-dd'T'HH:mm:ss.SSSXXX} %-5level %msg%n%ex";

    private static final int QUEUE_LINES = 4_096;
    private static final AtomicLong DROPPED = new AtomicLong();

    private Logs() {}

    /** Returns how many lines were dropped since the start. */
    public static long dropped() {
        return DROPPED.get();
    }

    /** Writes the lines that wait, as far as the reader takes them within a second, and ends logging. */
    public static void close() {
        LoggerContext context = (LoggerContext) LoggerFactory.getILoggerFactory();
        context.getLogger(org.slf4j.Logger.ROOT_LOGGER_NAME).detachAndStopAllAppenders();
    }

    /** Drops lines instead of blocking, and counts them. */
    private static final class BoundedAppender extends AsyncAppender {
        BoundedAppender() {
            setNeverBlock(true);
            setQueueSize(QUEUE_LINES);
            setDiscardingThreshold(0);
        }

        @Override
        protected void append(ILoggingEvent event) {
            if (getRemainingCapacity() == 0) {
                DROPPED.incrementAndGet();
                return;
            }
            super.append(event);
        }
    }

    /** Replaces the log set-up of this process. */
    public static void configure(LogSettings settings) {
        System.setProperty("org.jboss.logging.provider", "slf4j");
        LoggerContext context = (LoggerContext) LoggerFactory.getILoggerFactory();
        context.reset();
        ConsoleAppender<ILoggingEvent> appender = new ConsoleAppender<>();
        appender.setContext(context);
        appender.setEncoder(encoder(context, settings));
        appender.start();
        BoundedAppender bounded = new BoundedAppender();
        bounded.setContext(context);
        bounded.addAppender(appender);
        bounded.start();
        Logger root = context.getLogger(org.slf4j.Logger.ROOT_LOGGER_NAME);
        root.addAppender(bounded);
        root.setLevel(Level.toLevel(settings.level()));
        context.getLogger("org.eclipse.jetty").setLevel(Level.WARN);
    }

    private static Encoder<ILoggingEvent> encoder(LoggerContext context, LogSettings settings) {
        if (settings.format().equals("json")) {
            JsonEncoder json = new JsonEncoder();
            json.setContext(context);
            json.start();
            return json;
        }
        PatternLayoutEncoder text = new PatternLayoutEncoder();
        text.setContext(context);
        text.setPattern(TEXT);
        text.start();
        return text;
    }
}
