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
 * Static methods that configure logging to standard output, as text or as one JSON object per line.
 *
 * <p>Lines are written asynchronously from a queue of {@value #QUEUE_CAPACITY_LINES} lines. Lines that do not fit are
 * dropped and counted, so that a slow reader of the output never blocks the program.
 */
public final class Logs {
    private static final String TEXT_PATTERN = "%d{yyyy-MM-dd'T'HH:mm:ss.SSSXXX} %-5level %msg%n%ex";

    private static final int QUEUE_CAPACITY_LINES = 4_096;
    private static final AtomicLong DROPPED_LINES = new AtomicLong();

    private Logs() {}

    /** Returns the number of lines dropped since the process started. */
    public static long dropped() {
        return DROPPED_LINES.get();
    }

    /**
     * Flushes the queue and ends logging. Lines that the reader of the output does not accept within a second are lost.
     */
    public static void close() {
        LoggerContext context = (LoggerContext) LoggerFactory.getILoggerFactory();
        context.getLogger(org.slf4j.Logger.ROOT_LOGGER_NAME).detachAndStopAllAppenders();
    }

    /** Drops and counts lines instead of blocking when the queue is full. */
    private static final class BoundedAppender extends AsyncAppender {
        BoundedAppender() {
            setNeverBlock(true);
            setQueueSize(QUEUE_CAPACITY_LINES);
            setDiscardingThreshold(0);
        }

        @Override
        protected void append(ILoggingEvent event) {
            if (getRemainingCapacity() == 0) {
                DROPPED_LINES.incrementAndGet();
                return;
            }
            super.append(event);
        }
    }

    /** Replaces the logging configuration of this process, and logs exceptions that end threads from now on. */
    public static void configure(LogSettings settings) {
        System.setProperty("org.jboss.logging.provider", "slf4j");
        LoggerContext context = (LoggerContext) LoggerFactory.getILoggerFactory();
        context.reset();
        ConsoleAppender<ILoggingEvent> console = new ConsoleAppender<>();
        console.setContext(context);
        console.setEncoder(encoder(context, settings));
        console.start();
        BoundedAppender bounded = new BoundedAppender();
        bounded.setContext(context);
        bounded.addAppender(console);
        bounded.start();
        Logger root = context.getLogger(org.slf4j.Logger.ROOT_LOGGER_NAME);
        root.addAppender(bounded);
        root.setLevel(Level.toLevel(settings.level()));
        context.getLogger("org.eclipse.jetty").setLevel(Level.WARN);
        UncaughtExceptions.logAll();
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
        text.setPattern(TEXT_PATTERN);
        text.start();
        return text;
    }
}
