package org.banyanspoke.daemon;

import org.banyanspoke.api.config.UrgencyClass;
import org.banyanspoke.api.errors.ErrorKind;
import org.banyanspoke.api.ids.JobId;
import org.banyanspoke.api.ids.ServerId;
import org.banyanspoke.api.ids.TeamId;
import org.banyanspoke.core.dispatch.AttemptResult;
import org.banyanspoke.core.dispatch.DispatcherListener;
import org.banyanspoke.daemon.control.ControlPlane;
import org.banyanspoke.daemon.logging.EventLog;
import org.banyanspoke.daemon.metrics.DaemonMetrics;
import org.jboss.logging.Logger;

/** Reports dispatcher events to the metrics, the log and the control plane. */
final class DispatchEventReporter implements DispatcherListener {
    private static final EventLog LOG = EventLog.of(DispatchEventReporter.class);

    private final DaemonMetrics metrics;
    private final ControlPlane control;

    DispatchEventReporter(DaemonMetrics metrics, ControlPlane control) {
        this.metrics = metrics;
        this.control = control;
    }

    @Override
    public void taskEnded(
            TeamId team,
            UrgencyClass urgency,
            ServerId server,
            AttemptResult.Outcome outcome,
            long waitNanos,
            long serviceNanos) {
        metrics.taskEnded(team, urgency, server, outcome, waitNanos, serviceNanos);
    }

    /** Logs failed jobs only at DEBUG, so that an overload does not flood the log; the metrics count them. */
    @Override
    public void jobEnded(TeamId team, UrgencyClass urgency, JobId job, ErrorKind kind, long totalNanos) {
        metrics.jobEnded(team, urgency, job, kind, totalNanos);
        if (kind != null) {
            LOG.event(Logger.Level.DEBUG, "job failed")
                    .with("job", job)
                    .with("team", team)
                    .with("errorKind", kind)
                    .write();
        }
    }

    @Override
    public void requestRefused(TeamId team, ErrorKind kind) {
        metrics.requestRefused(team, kind);
        LOG.event(Logger.Level.DEBUG, "request refused")
                .with("team", team)
                .with("errorKind", kind)
                .write();
    }

    @Override
    public void ejectionChanged(ServerId server, boolean ejected) {
        metrics.ejectionChanged(server, ejected);
        LOG.event(Logger.Level.WARN, ejected ? "server ejected after failures" : "server returned after ejection")
                .with("server", server)
                .write();
    }

    @Override
    public void serverLeaving(ServerId server, String incarnation) {
        control.reportLeaving(server, incarnation);
    }
}
