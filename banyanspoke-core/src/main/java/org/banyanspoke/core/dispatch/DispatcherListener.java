package org.banyanspoke.core.dispatch;

import org.banyanspoke.api.config.UrgencyClass;
import org.banyanspoke.api.errors.ErrorKind;
import org.banyanspoke.api.ids.JobId;
import org.banyanspoke.api.ids.ServerId;
import org.banyanspoke.api.ids.TeamId;

/** Receives what the dispatcher does, for metrics and logs. Called on the dispatch thread; must not block. */
public interface DispatcherListener {
    /** Ignores everything. */
    DispatcherListener NONE = new DispatcherListener() {};

    /** A task was answered. */
    default void taskEnded(
            TeamId team,
            UrgencyClass urgency,
            ServerId server,
            AttemptResult.Outcome outcome,
            long waitNanos,
            long serviceNanos) {}

    /** A job ended; the kind is null if it is complete. */
    default void jobEnded(TeamId team, UrgencyClass urgency, JobId job, ErrorKind kind, long totalNanos) {}

    /** A submission was refused. */
    default void requestRefused(TeamId team, ErrorKind kind) {}

    /** A backend server was set aside or taken back. */
    default void ejectionChanged(ServerId server, boolean ejected) {}

    /** A backend server's own answer said that it is leaving; the incarnation may be null. */
    default void serverLeaving(ServerId server, String incarnation) {}
}
