package org.acaciaport.program;

/** Thrown when settings are invalid. The message names the file, the key and its value, and says what to do. */
public final class SettingsException extends Exception {
    private static final long serialVersionUID = 1L;

    /** Creates an exception with a message. */
    public SettingsException(String message) {
        super(message);
    }
}
