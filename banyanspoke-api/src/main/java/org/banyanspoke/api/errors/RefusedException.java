package org.banyanspoke.api.errors;

/** Thrown if a request is refused before any task is queued. The kind has execution status {@code NOT_RUN}. */
public class RefusedException extends DispatchException {
    private static final long serialVersionUID = 1L;

    private final long retryAfterMillis;

    /**
     * @param retryAfterMillis delay before a retry may succeed, in milliseconds; 0 if a retry will not succeed
     * @throws IllegalArgumentException if the execution status of the kind is not {@code NOT_RUN}
     */
    public RefusedException(ErrorKind kind, String message, long retryAfterMillis) {
        super(kind, message);
        if (kind.execution() != Execution.NOT_RUN) {
            throw new IllegalArgumentException(kind + " does not have execution status NOT_RUN");
        }
        this.retryAfterMillis = retryAfterMillis;
    }

    /** Returns the delay before a retry may succeed, in milliseconds; 0 if a retry will not succeed. */
    public long retryAfterMillis() {
        return retryAfterMillis;
    }
}
