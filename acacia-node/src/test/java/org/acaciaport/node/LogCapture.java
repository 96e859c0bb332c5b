package org.acaciaport.node;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.logging.Handler;
import java.util.logging.LogRecord;
import java.util.logging.Logger;

/** Collects the messages that one class logs until it is closed. Thread-safe. */
final class LogCapture extends Handler implements AutoCloseable {
    private final Logger logger;
    private final List<String> messages = new CopyOnWriteArrayList<>();

    private LogCapture(Logger logger) {
        this.logger = logger;
    }

    /** Returns a capture of the messages of {@code type} from now on. */
    static LogCapture of(Class<?> type) {
        LogCapture capture = new LogCapture(Logger.getLogger(type.getName()));
        capture.logger.addHandler(capture);
        return capture;
    }

    List<String> messagesContaining(String text) {
        return messages.stream().filter(message -> message.contains(text)).toList();
    }

    @Override
    public void publish(LogRecord record) {
        messages.add(String.valueOf(record.getMessage()));
    }

    @Override
    public void flush() {
        // Nothing is buffered.
    }

    @Override
    public void close() {
        logger.removeHandler(this);
    }
}
