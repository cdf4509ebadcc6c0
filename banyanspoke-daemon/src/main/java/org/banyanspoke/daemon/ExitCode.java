package org.banyanspoke.daemon;

/** Exit codes of the daemon. */
public enum ExitCode {
    /** Planned stop, valid settings with {@code --check}, or help. */
    OK(0),
    /** A service could not start, for example because a port is in use. */
    START_FAILED(1),
    /** Wrong command line. */
    USAGE(2),
    /** Faults in the settings; standard error lists all of them. */
    SETTINGS_INVALID(3),
    /** The planned stop ended with an error; running jobs may have been lost. */
    STOP_FAILED(4);

    private final int code;

    ExitCode(int code) {
        this.code = code;
    }

    /** Returns the code for the operating system. */
    public int code() {
        return code;
    }
}
