package org.banyanspoke.core.dispatch;

/**
 * Result of a {@link TaskAttempt}.
 *
 * @param outcome what is known about the execution of the task
 * @param result the response body if the outcome is {@code DONE}, otherwise an error message
 * @param elapsedNanos time from sending the request to this result
 * @param load load that the server reported with its response; null if there was none
 * @param serverLeaving whether the response stated that the server is leaving
 * @param serverIncarnation incarnation of the server, as stated in its response; null if there was none
 */
public record AttemptResult(
        Outcome outcome,
        String result,
        long elapsedNanos,
        LoadReport load,
        boolean serverLeaving,
        String serverIncarnation) {

    /** Execution state of the task after an attempt. */
    public enum Outcome {
        /** The server completed the task. */
        DONE,
        /** The server started the task and reported its failure. */
        FAILED,
        /** The connection failed before any part of the request was written. */
        NOT_SENT,
        /** The request was written and the server responded that it did not start the task. */
        REFUSED_BY_SERVER,
        /** The request was written and no valid response was received. */
        UNKNOWN
    }
}
