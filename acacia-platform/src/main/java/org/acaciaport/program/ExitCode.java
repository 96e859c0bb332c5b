package org.acaciaport.program;

/** The exit codes of the programs. */
public enum ExitCode {
    /** The command succeeded, or the server was shut down cleanly. */
    OK(0),
    /** The command ran but its result is negative, such as a request that failed. */
    NEGATIVE(1),
    /** The command line or the settings are invalid. */
    USAGE(2),
    /** A resource or service that the program needs is unavailable. */
    UNAVAILABLE(3);

    private final int code;

    ExitCode(int code) {
        this.code = code;
    }

    /** Returns the exit code as a number. */
    public int code() {
        return code;
    }
}
