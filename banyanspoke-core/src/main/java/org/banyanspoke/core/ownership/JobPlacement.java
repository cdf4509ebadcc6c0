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
 * The way of one job to a dispatcher. A dispatcher that refuses a job has run nothing of it, so another one may get it, if it is
 * expected to begin it while the end is of use. Without any dispatcher a job waits for the next one for a moment.
 */
public final class JobPlacement {
    /** Each further dispatcher costs all hosts messages in a flood and seldom has room if two had none. */
    private static final int MOST_DISPATCHERS = 2;
    /** A dispatcher that is lost is noticed and followed within this time, and one of a started host claims its servers. */
    private static final long SUCCESSION_MILLIS = 900;

    private final PooledJob job;
    private final JobRouter router;
    private final MonotonicClock clock;
    private final long sinceMillis;
    private final Set<HostId> tried = new HashSet<>();

    /**
     * @param job as it was read
     * @param router chooses among the dispatchers
     * @param clock of this host
     */
    public JobPlacement(PooledJob job, JobRouter router, MonotonicClock clock) {
        this.job = job;
        this.router = router;
        this.clock = clock;
        this.sinceMillis = clock.millis();
    }

    /** Returns the job with its present age. */
    public PooledJob job() {
        return job.aged(elapsedMillis());
    }

    /** Returns the time since the job was read. */
    public long elapsedMillis() {
        return clock.millis() - sinceMillis;
    }

    /** Returns the dispatcher to send the job to now; empty if none should get it. */
    public Optional<HostState> next(Collection<HostState> dispatchers) {
        if (tried.size() >= MOST_DISPATCHERS) {
            return Optional.empty();
        }
        List<HostState> untried = new ArrayList<>();
        for (HostState each : dispatchers) {
            if (!tried.contains(each.host())) {
                untried.add(each);
            }
        }
        Optional<HostState> chosen =
                tried.isEmpty() ? router.choose(job(), untried) : router.chooseInTime(job(), untried);
        chosen.ifPresent(each -> tried.add(each.host()));
        return chosen;
    }

    /** Returns how many dispatchers have got the job. */
    public int dispatchers() {
        return tried.size();
    }

    /** Returns whether a job that has not found a dispatcher should wait for one. */
    public boolean waits() {
        return tried.isEmpty() && elapsedMillis() < SUCCESSION_MILLIS && job().usefulAfter(0);
    }
}
