package org.acaciaport.ctl;

import org.acaciaport.program.ExitCode;

/** Thrown when a command fails; the message is printed to the user and names the remedy. */
final class CtlException extends Exception {
    private static final long serialVersionUID = 1L;

    private final ExitCode exitCode;

    CtlException(ExitCode exitCode, String message) {
        super(message);
        this.exitCode = exitCode;
    }

    ExitCode exitCode() {
        return exitCode;
    }
}
