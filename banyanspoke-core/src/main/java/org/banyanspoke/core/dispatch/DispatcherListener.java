package org.banyanspoke.core.dispatch;

import org.banyanspoke.api.config.UrgencyClass;
import org.banyanspoke.api.errors.ErrorKind;
import org.banyanspoke.api.ids.JobId;
import org.banyanspoke.api.ids.ServerId;
import org.banyanspoke.api.ids.TeamId;

/**
 * Receives dispatcher events, for metrics and logs. Called on the dispatch thread; implementations must not block.
 */
public interface DispatcherListener {
    /** Ignores all events. */
    DispatcherListener NONE = new DispatcherListener() {};

    /** Called when an attempt of a task has ended, with any outcome. */
    default void taskEnded(
            TeamId team,
            UrgencyClass urgency,
            ServerId server,
            AttemptResult.Outcome outcome,
            long waitNanos,
            long serviceNanos) {}

    /** Called when a job has ended; {@code kind} is null if the job completed. */
    default void jobEnded(TeamId team, UrgencyClass urgency, JobId job, ErrorKind kind, long totalNanos) {}

    /** Called when a submission or a reservation of job ids was refused. */
    default void requestRefused(TeamId team, ErrorKind kind) {}

    /** Called when a backend server was ejected or reinstated. */
    default void ejectionChanged(ServerId server, boolean ejected) {}

    /** Called when a backend server stated in a response that it is leaving; {@code incarnation} may be null. */
    default void serverLeaving(ServerId server, String incarnation) {}
}
