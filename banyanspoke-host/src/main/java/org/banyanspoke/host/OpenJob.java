package org.banyanspoke.host;

import java.util.Optional;
import java.util.function.Consumer;
import org.banyanspoke.api.ids.HostId;
import org.banyanspoke.core.ownership.HostState;
import org.banyanspoke.core.ownership.JobPlacement;
import org.banyanspoke.core.pool.CallerJobId;
import org.banyanspoke.core.pool.JobOutcome;
import org.banyanspoke.core.pool.PooledJob;

/** A job whose caller waits at this entry host. */
final class OpenJob {
    private final PooledJob job;
    private final JobPlacement placement;
    private final Consumer<JobOutcome> whenEnded;
    private Optional<HostState> dispatcher = Optional.empty();
    private boolean cancelled;

    OpenJob(PooledJob job, JobPlacement placement, Consumer<JobOutcome> whenEnded) {
        this.job = job;
        this.placement = placement;
        this.whenEnded = whenEnded;
    }

    CallerJobId id() {
        return job.id();
    }

    PooledJob job() {
        return job;
    }

    JobPlacement placement() {
        return placement;
    }

    /** Returns the dispatcher that got the job last, as it was known then; empty before the first. */
    Optional<HostState> dispatcher() {
        return dispatcher;
    }

    boolean isAt(HostId host) {
        return dispatcher.isPresent() && dispatcher.get().host().equals(host);
    }

    void sentTo(HostState to) {
        dispatcher = Optional.of(to);
    }

    /** Whether the caller no longer waits. */
    boolean cancelled() {
        return cancelled;
    }

    void cancel() {
        cancelled = true;
    }

    void answer(JobOutcome outcome) {
        whenEnded.accept(outcome);
    }
}
