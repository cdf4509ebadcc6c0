package org.banyanspoke.cli;

import org.banyanspoke.api.errors.ErrorKind;
import org.banyanspoke.api.errors.Execution;

/** Exit codes of the command-line tool; documented in {@code docs/cli.md}. */
public enum ExitCode {
    /** The command did what it was asked to do. */
    SUCCESS(0),
    /** The job failed, or the outcome is not known; some of it may have run. */
    MAY_HAVE_RUN(1),
    /** The command line or an input file is not valid. Nothing was sent. */
    USAGE(2),
    /** The request was refused and nothing was run. */
    REFUSED(3),
    /** No entry host answered. */
    UNREACHABLE(4);

    private final int code;

    ExitCode(int code) {
        this.code = code;
    }

    /** Returns the code for the operating system. */
    public int code() {
        return code;
    }

    /** Returns the code for an error answer. */
    public static ExitCode of(ErrorKind kind) {
        return kind.execution() == Execution.NOT_RUN ? REFUSED : MAY_HAVE_RUN;
    }
}
