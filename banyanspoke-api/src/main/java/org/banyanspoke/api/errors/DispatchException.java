package org.banyanspoke.api.errors;

import java.util.Objects;

/** Base class of the checked exceptions that carry an {@link ErrorKind}. */
public class DispatchException extends Exception {
    private static final long serialVersionUID = 1L;

    private final ErrorKind kind;

    /**
     * @param kind determines the HTTP status and the execution status
     * @param message describes the error and includes the invalid value
     */
    public DispatchException(ErrorKind kind, String message) {
        super(message);
        this.kind = Objects.requireNonNull(kind);
    }

    /** Creates an exception with a cause. */
    public DispatchException(ErrorKind kind, String message, Throwable cause) {
        super(message, cause);
        this.kind = Objects.requireNonNull(kind);
    }

    /** Returns the error kind. */
    public ErrorKind kind() {
        return kind;
    }
}
