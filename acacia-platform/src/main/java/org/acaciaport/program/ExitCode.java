package org.acaciaport.program;

/** How the programs end. */
public enum ExitCode {
    /** Did what was asked, or was stopped in order. */
    OK(0),
    /** The command ran and its answer is no, such as a request that failed. */
    NEGATIVE(1),
    /** The command line or the settings are wrong. */
    USAGE(2),
    /** Something that the program needs is not available. */
    UNAVAILABLE(3);

    private final int code;

    ExitCode(int code) {
        this.code = code;
    }

    /** Returns the number for the operating system. */
    public int code() {
        return code;
    }
}
