package org.acaciaport.ctl;

import org.acaciaport.program.ExitCode;

/** Thrown when a command cannot give what was asked for; the message names the remedy. */
final class CtlException extends Exception {
    private static final long serialVersionUID = 1L;

    private final ExitCode code;

    CtlException(ExitCode code, String message) {
        super(message);
        this.code = code;
    }

    ExitCode code() {
        return code;
    }
}
