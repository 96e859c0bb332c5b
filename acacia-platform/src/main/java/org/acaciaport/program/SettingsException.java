package org.acaciaport.program;

/** Thrown for settings that cannot be used; the message names file, key, value and remedy. */
public final class SettingsException extends Exception {
    private static final long serialVersionUID = 1L;

    /** Creates an exception with a message. */
    public SettingsException(String message) {
        super(message);
    }
}
