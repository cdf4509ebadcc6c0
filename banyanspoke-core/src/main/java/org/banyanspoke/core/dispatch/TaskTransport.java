package org.banyanspoke.core.dispatch;

import java.util.function.Consumer;

/** Sends tasks to backend servers. All methods and callbacks run on the dispatch thread. */
public interface TaskTransport {
    /**
     * Starts an attempt. The callback runs exactly once, never during this call, and no later than shortly after the
     * lease of the attempt has expired.
     */
    void start(TaskAttempt attempt, Consumer<AttemptResult> onEnd);

    /**
     * Asks the server to stop a running attempt, on a best-effort basis. The callback passed to {@link #start} still
     * runs.
     */
    void stop(TaskAttempt attempt);
}
