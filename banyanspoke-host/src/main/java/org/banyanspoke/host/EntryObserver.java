package org.banyanspoke.host;

import java.util.Optional;
import org.banyanspoke.core.ownership.HostState;
import org.banyanspoke.core.pool.CallerJobId;
import org.banyanspoke.core.pool.JobOutcome;
import org.banyanspoke.core.pool.PooledJob;
import org.banyanspoke.core.pool.SiteConfig;

/** Logs and counts this host's answers to callers, with the state of the dispatcher at the time it was chosen. */
final class EntryObserver {
    private final RequestLog log;
    private final HostMetrics metrics;

    EntryObserver(RequestLog log, HostMetrics metrics) {
        this.log = log;
        this.metrics = metrics;
    }

    /** Records an answer. */
    void answered(OpenJob job, JobOutcome outcome, Optional<SiteConfig> config) {
        long totalMillis = job.placement().elapsedMillis();
        metrics.answered(job.job(), outcome, totalMillis);
        RequestLog.Kind kind = kind(job.job(), outcome, totalMillis);
        if (!log.tryAcquire(kind)) {
            return;
        }
        Optional<HostState> dispatcher = job.dispatcher();
        log.line(kind, "job answered")
                .with("job", job.id())
                .with("queue", job.job().queuePolicy().name())
                .with("outcome", outcome.kind())
                .with("reason", outcome.reason().isEmpty() ? null : outcome.reason())
                .with("totalMillis", totalMillis)
                .with("dispatchers", job.placement().dispatcherCount())
                .with("dispatcher", dispatcher.map(HostState::host).orElse(null))
                .with("dispatcherRound", dispatcher.map(HostState::round).orElse(null))
                .with(
                        "dispatcherFreeMillicores",
                        dispatcher.map(state -> state.load().freeMillicores()).orElse(null))
                .with("configVersion", config.map(SiteConfig::version).orElse(null))
                .write();
    }

    /**
     * Records a cancellation by a caller.
     *
     * @param replies replies of the other hosts, which are asked only if this host does not know the job
     */
    void cancelled(CallerJobId job, JobCancellations.Replies replies) {
        metrics.cancelled(replies.known());
        if (log.tryAcquire(RequestLog.Kind.CANCELLED)) {
            log.line(RequestLog.Kind.CANCELLED, "job cancelled by its caller")
                    .with("job", job)
                    .with("known", replies.known())
                    .with("hostsAsked", replies.asked())
                    .with("hostsReplied", replies.replied())
                    .write();
        }
    }

    private static RequestLog.Kind kind(PooledJob job, JobOutcome outcome, long totalMillis) {
        return switch (outcome.kind()) {
            case REFUSED -> RequestLog.Kind.REFUSED;
            case FAILED, ABANDONED -> RequestLog.Kind.NOT_DONE;
            case COMPLETED -> {
                double targetMillis =
                        job.queuePolicy().stretch() * job.requirements().estimateMillis()
                                + job.queuePolicy().targetLatencyMillis();
                yield totalMillis > targetMillis ? RequestLog.Kind.ANSWERED_LATE : RequestLog.Kind.ANSWERED;
            }
        };
    }
}
