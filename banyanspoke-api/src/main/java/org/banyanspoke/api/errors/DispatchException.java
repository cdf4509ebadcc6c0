package org.banyanspoke.api.errors;

import java.util.Objects;

/** Base of all checked exceptions of banyanspoke. Carries one {@link ErrorKind}. */
public class DispatchException extends Exception {
    private static final long serialVersionUID = 1L;

    private final ErrorKind kind;

    /**
     * @param kind the kind, which decides status and execution statement
     * @param message what went wrong, with the offending value
     */
    public DispatchException(ErrorKind kind, String message) {
        super(message);
        this.kind = Objects.requireNonNull(kind);
    }

    /** As above, with the cause. */
    public DispatchException(ErrorKind kind, String message, Throwable cause) {
        super(message, cause);
        this.kind = Objects.requireNonNull(kind);
    }

    /** Returns the kind. */
    public ErrorKind kind() {
        return kind;
    }
}
