package org.banyanspoke.core.ownership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.banyanspoke.api.ids.HostId;
import org.banyanspoke.core.pool.PooledJob;
import org.banyanspoke.core.time.MonotonicClock;

/**
 * Placement of one job on a dispatcher. A dispatcher that refuses a job has run none of its tasks, so the job may be
 * sent to another one that can be expected to finish it before its expiry. If there is no dispatcher, the job waits
 * briefly for one.
 */
public final class JobPlacement {
    /** More attempts multiply messages under overload and rarely succeed after two refusals. */
    private static final int MAX_DISPATCHERS = 2;
    /** Time within which a failed dispatcher is replaced, or a newly started dispatcher has claimed its servers. */
    private static final long FAILOVER_MILLIS = 900;

    private final PooledJob job;
    private final JobRouter router;
    private final MonotonicClock clock;
    private final long receivedAtMillis;
    private final Set<HostId> tried = new HashSet<>();

    /**
     * @param job the job as received
     * @param router router that chooses among the dispatchers
     * @param clock clock of this host
     */
    public JobPlacement(PooledJob job, JobRouter router, MonotonicClock clock) {
        this.job = job;
        this.router = router;
        this.clock = clock;
        this.receivedAtMillis = clock.millis();
    }

    /** Returns the job with its current age. */
    public PooledJob job() {
        return job.agedBy(elapsedMillis());
    }

    /** Returns the time since the job was received. */
    public long elapsedMillis() {
        return clock.millis() - receivedAtMillis;
    }

    /** Returns the dispatcher to send the job to next; empty if it should not be sent to any. */
    public Optional<HostState> nextDispatcher(Collection<HostState> dispatchers) {
        if (tried.size() >= MAX_DISPATCHERS) {
            return Optional.empty();
        }
        List<HostState> untried = new ArrayList<>();
        for (HostState each : dispatchers) {
            if (!tried.contains(each.host())) {
                untried.add(each);
            }
        }
        Optional<HostState> chosen =
                tried.isEmpty() ? router.choose(job(), untried) : router.chooseBeforeExpiry(job(), untried);
        chosen.ifPresent(each -> tried.add(each.host()));
        return chosen;
    }

    /** Returns the number of dispatchers that the job has been sent to. */
    public int dispatcherCount() {
        return tried.size();
    }

    /** Returns whether a job that has not been sent to a dispatcher should wait for one. */
    public boolean shouldWait() {
        return tried.isEmpty() && elapsedMillis() < FAILOVER_MILLIS && job().isUsefulAfter(0);
    }
}
