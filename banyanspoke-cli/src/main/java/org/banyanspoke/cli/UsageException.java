package org.banyanspoke.cli;

/** Thrown when a command-line argument or an input file is invalid. */
public class UsageException extends Exception {
    private static final long serialVersionUID = 1L;

    /** Creates an exception whose message has the argument or file, its value and the allowed values. */
    public UsageException(String message) {
        super(message);
    }
}
