package org.banyanspoke.api.errors;

/** A request was refused before any of its tasks entered a queue. The kind's execution is {@code NOT_RUN}. */
public class RefusedException extends DispatchException {
    private static final long serialVersionUID = 1L;

    private final long retryAfterMillis;

    /**
     * @param retryAfterMillis when a new try may succeed, in milliseconds; 0 if a new try will not help
     * @throws IllegalArgumentException if the kind does not state that nothing was run
     */
    public RefusedException(ErrorKind kind, String message, long retryAfterMillis) {
        super(kind, message);
        if (kind.execution() != Execution.NOT_RUN) {
            throw new IllegalArgumentException(kind + " is not a refusal");
        }
        this.retryAfterMillis = retryAfterMillis;
    }

    /** Returns when a new try may succeed, in milliseconds; 0 if a new try will not help. */
    public long retryAfterMillis() {
        return retryAfterMillis;
    }
}
