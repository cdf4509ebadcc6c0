package org.banyanspoke.core.dispatch;

import java.util.function.Consumer;

/** Sends tasks to backend servers. All calls and callbacks run on the dispatch thread. */
public interface TaskTransport {
    /**
     * Starts an attempt. The callback runs exactly once, never during this call, and at the latest shortly after the
     * attempt's lease.
     */
    void start(TaskAttempt attempt, Consumer<AttemptResult> onEnd);

    /** Asks the server to stop a running attempt. Best effort; the callback of {@link #start} still runs. */
    void stop(TaskAttempt attempt);
}
