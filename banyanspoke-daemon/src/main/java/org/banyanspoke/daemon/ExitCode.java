package org.banyanspoke.daemon;

/** Exit codes of the daemon. */
public enum ExitCode {
    /** Graceful shutdown, valid settings with {@code --check}, or help. */
    OK(0),
    /** A service could not start, for example because a port is in use. */
    START_FAILED(1),
    /** Invalid command line. */
    USAGE(2),
    /** Invalid settings; standard error lists every fault. */
    SETTINGS_INVALID(3),
    /** The graceful shutdown failed; running jobs may have been lost. */
    STOP_FAILED(4);

    private final int code;

    ExitCode(int code) {
        this.code = code;
    }

    /** Returns the exit status of the process. */
    public int code() {
        return code;
    }
}
