package org.acaciaport.program;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.encoder.JsonEncoder;
import ch.qos.logback.classic.encoder.PatternLayoutEncoder;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.ConsoleAppender;
import ch.qos.logback.core.encoder.Encoder;
import org.slf4j.LoggerFactory;

/** Sets up logging to standard error, as text or as one JSON object a line. */
public final class Logs {
    private static final String TEXT = "%d{yyyy-MM-dd'T'HH:mm:ss.SSSXXX} %-5level %msg%n%ex";

    private Logs() {}

    /** Replaces the log set-up of this process. */
    public static void configure(LogSettings settings) {
        System.setProperty("org.jboss.logging.provider", "slf4j");
        LoggerContext context = (LoggerContext) LoggerFactory.getILoggerFactory();
        context.reset();
        ConsoleAppender<ILoggingEvent> appender = new ConsoleAppender<>();
        appender.setContext(context);
        appender.setTarget("System.err");
        appender.setEncoder(encoder(context, settings));
        appender.start();
        Logger root = context.getLogger(org.slf4j.Logger.ROOT_LOGGER_NAME);
        root.addAppender(appender);
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
