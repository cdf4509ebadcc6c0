package org.banyanspoke.core.dispatch;

/**
 * How an attempt ended.
 *
 * @param outcome what is known about the task
 * @param result the answer's body if the outcome is {@code DONE}, else a message for people
 * @param elapsedNanos time from the request to this result
 * @param load load reported with the answer; null if there was none
 * @param serverLeaving whether the answer said that the server is leaving
 * @param serverIncarnation the server's own incarnation from the answer; null if there was none
 */
public record AttemptResult(
        Outcome outcome,
        String result,
        long elapsedNanos,
        LoadReport load,
        boolean serverLeaving,
        String serverIncarnation) {

    /** What is known about the task after an attempt. */
    public enum Outcome {
        /** The task completed. */
        DONE,
        /** The task was started and failed. */
        FAILED,
        /** Nothing was written to the server: the connection failed first. */
        NOT_SENT,
        /** The request was written and the server states that it did not start the task. */
        REFUSED_BY_SERVER,
        /** The request was written and no valid answer came. */
        UNKNOWN
    }
}
