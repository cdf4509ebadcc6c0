package org.banyanspoke.cli;

/** An argument or an input file is not valid. */
public class UsageException extends Exception {
    private static final long serialVersionUID = 1L;

    /** Creates an exception that names the argument or file, the value and what is allowed. */
    public UsageException(String message) {
        super(message);
    }
}
