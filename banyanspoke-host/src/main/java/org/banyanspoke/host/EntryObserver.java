package org.banyanspoke.host;

import java.util.Optional;
import java.util.function.Consumer;
import org.banyanspoke.core.ownership.HostState;
import org.banyanspoke.core.pool.JobOutcome;
import org.banyanspoke.core.pool.PooledJob;
import org.banyanspoke.core.pool.SiteConfig;
import org.banyanspoke.core.time.MonotonicClock;

/** Logs and counts what this host answers its callers, with what it believed when it chose the dispatcher. */
final class EntryObserver {
    private final MonotonicClock clock;
    private final RequestLog log;
    private final HostMetrics metrics;

    EntryObserver(MonotonicClock clock, RequestLog log, HostMetrics metrics) {
        this.clock = clock;
        this.log = log;
        this.metrics = metrics;
    }

    /** Returns a consumer that passes the outcome on and takes note of it. */
    Consumer<JobOutcome> observe(
            PooledJob job,
            Optional<HostState> dispatcher,
            Optional<SiteConfig> config,
            Consumer<JobOutcome> whenEnded) {
        long sinceMillis = clock.millis();
        return outcome -> {
            whenEnded.accept(outcome);
            long totalMillis = clock.millis() - sinceMillis;
            metrics.answered(job, outcome, totalMillis);
            write(job, dispatcher, config, outcome, totalMillis);
        };
    }

    private void write(
            PooledJob job,
            Optional<HostState> dispatcher,
            Optional<SiteConfig> config,
            JobOutcome outcome,
            long totalMillis) {
        RequestLog.Kind kind = kind(job, outcome, totalMillis);
        if (!log.admits(kind)) {
            return;
        }
        log.line(kind, "answered a caller")
                .with("job", job.id())
                .with("queue", job.terms().name())
                .with("outcome", outcome.kind())
                .with("reason", outcome.reason().isEmpty() ? null : outcome.reason())
                .with("totalMillis", totalMillis)
                .with("dispatcher", dispatcher.map(HostState::host).orElse(null))
                .with("dispatcherRound", dispatcher.map(HostState::round).orElse(null))
                .with(
                        "dispatcherFreeMillicores",
                        dispatcher.map(state -> state.load().freeMillicores()).orElse(null))
                .with("configVersion", config.map(SiteConfig::version).orElse(null))
                .write();
    }

    private static RequestLog.Kind kind(PooledJob job, JobOutcome outcome, long totalMillis) {
        return switch (outcome.kind()) {
            case REFUSED -> RequestLog.Kind.REFUSED;
            case FAILED, ABANDONED -> RequestLog.Kind.NOT_DONE;
            case COMPLETED -> {
                double targetMillis = job.terms().stretch() * job.shape().estimateMillis()
                        + job.terms().targetLatencyMillis();
                yield totalMillis > targetMillis ? RequestLog.Kind.ANSWERED_LATE : RequestLog.Kind.ANSWERED;
            }
        };
    }
}
