package org.banyanspoke.cli;

import org.banyanspoke.api.errors.ErrorKind;
import org.banyanspoke.api.errors.Execution;

/** Exit codes of the command-line tool; documented in {@code docs/cli.md}. */
public enum ExitCode {
    /** The command succeeded. */
    SUCCESS(0),
    /** The job failed or the outcome is unknown; some of its tasks may have run. */
    MAY_HAVE_RUN(1),
    /** The command line or an input file is invalid. No request was sent. */
    USAGE(2),
    /** The request was refused and no task was run. */
    REFUSED(3),
    /** No entry host responded. */
    UNREACHABLE(4);

    private final int code;

    ExitCode(int code) {
        this.code = code;
    }

    /** Returns the exit status of the process. */
    public int code() {
        return code;
    }

    /** Returns the exit code for an error response. */
    public static ExitCode of(ErrorKind kind) {
        return kind.execution() == Execution.NOT_RUN ? REFUSED : MAY_HAVE_RUN;
    }
}
