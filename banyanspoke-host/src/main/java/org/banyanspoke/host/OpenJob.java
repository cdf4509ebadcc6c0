package org.banyanspoke.host;

import java.util.Optional;
import java.util.function.Consumer;
import org.banyanspoke.api.ids.HostId;
import org.banyanspoke.core.ownership.HostState;
import org.banyanspoke.core.ownership.JobPlacement;
import org.banyanspoke.core.pool.CallerJobId;
import org.banyanspoke.core.pool.JobOutcome;
import org.banyanspoke.core.pool.PooledJob;

/** A job whose caller is connected to this entry host and waits for the answer. */
final class OpenJob {
    private final PooledJob job;
    private final JobPlacement placement;
    private final long receivedMillis;
    private final Consumer<JobOutcome> onEnded;
    private Optional<HostState> dispatcher = Optional.empty();
    private boolean cancelled;
    private boolean ended;

    /**
     * @param receivedMillis time of the elapsed clock at which the request was read
     * @param onEnded receives the answer for the caller
     */
    OpenJob(PooledJob job, JobPlacement placement, long receivedMillis, Consumer<JobOutcome> onEnded) {
        this.job = job;
        this.placement = placement;
        this.receivedMillis = receivedMillis;
        this.onEnded = onEnded;
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

    /** Returns the time of the elapsed clock at which the request was read. */
    long receivedMillis() {
        return receivedMillis;
    }

    /** Returns the state of the last dispatcher the job was sent to, as known at that time; empty if there was none. */
    Optional<HostState> dispatcher() {
        return dispatcher;
    }

    boolean isDispatchedBy(HostId host) {
        return dispatcher.isPresent() && dispatcher.get().host().equals(host);
    }

    void setDispatcher(HostState state) {
        dispatcher = Optional.of(state);
    }

    /** Returns whether the caller no longer waits. */
    boolean cancelled() {
        return cancelled;
    }

    void cancel() {
        cancelled = true;
    }

    /** Returns whether the caller has been answered. */
    boolean ended() {
        return ended;
    }

    void answer(JobOutcome outcome) {
        ended = true;
        onEnded.accept(outcome);
    }
}
