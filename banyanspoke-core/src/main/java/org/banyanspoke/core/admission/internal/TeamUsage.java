package org.banyanspoke.core.admission.internal;

import java.util.concurrent.TimeUnit;
import org.banyanspoke.core.dispatch.DispatcherStats.TeamDemand;
import org.banyanspoke.core.quota.QuotaShares.Share;

/** Tracks the use of one team's quota at this host. */
public final class TeamUsage {
    private static final long INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(1);

    /** Clients retry a refused job after 1 s; a loan requested in the meantime lasts 5 s. */
    private static final int REFUSED_DEMAND_INTERVALS = 5;

    private final StartTokenBucket bucket;
    private Share share;
    private int waiting;
    private int running;

    private long intervalStartNanos;
    private int startsInInterval;
    private int refusedInInterval;
    private int largestRefusedJob;
    private int intervalsSinceRefusal;
    private double startsPerSecond;
    private double demandedStartsPerSecond;

    TeamUsage(Share share, long nowNanos) {
        bucket = new StartTokenBucket(share, nowNanos);
        this.share = share;
        intervalStartNanos = nowNanos;
    }

    void setShare(Share newShare, long nowNanos) {
        bucket.setShare(newShare, nowNanos);
        share = newShare;
    }

    /** Records admitted tasks that start to wait. */
    public void onWaiting(int tasks) {
        waiting += tasks;
        if (tasks >= largestRefusedJob) {
            largestRefusedJob = 0;
        }
    }

    /** Records waiting tasks that are removed without being sent. */
    public void onWithdrawn(int tasks) {
        waiting -= tasks;
    }

    /** Returns whether the quota allows a task start now. */
    public boolean mayStart(long nowNanos) {
        return bucket.availableTokens(nowNanos) >= 1;
    }

    /** Records that a waiting task was sent. */
    public void onSent() {
        bucket.take();
        waiting--;
        running++;
        startsInInterval++;
    }

    /** Records that a sent task released its slot. */
    public void onEnded() {
        running--;
    }

    /** Records the number of tasks of a job that was refused because of the quota. */
    public void onRefused(int tasks) {
        refusedInInterval += tasks;
        if (tasks >= largestRefusedJob) {
            largestRefusedJob = tasks;
            intervalsSinceRefusal = 0;
        }
    }

    /** Returns the number of waiting tasks. */
    public int waiting() {
        return waiting;
    }

    /** Returns the number of waiting and running tasks. */
    public int inFlight() {
        return waiting + running;
    }

    /** Returns the maximum number of waiting and running tasks. */
    public int maxInFlight(long nowNanos) {
        return share.tasksInFlightAt(nowNanos);
    }

    /** Returns the number of task starts that the quota allows immediately. */
    public double availableStarts(long nowNanos) {
        return bucket.availableTokens(nowNanos);
    }

    /** Returns the task starts per second that the quota currently allows. */
    public double startsPerSecondLimit(long nowNanos) {
        return bucket.ratePerSecond(nowNanos);
    }

    /** Returns the start rate and demand of the last complete measuring interval. */
    public TeamDemand demand(long nowNanos) {
        rollInterval(nowNanos);
        return new TeamDemand(startsPerSecond, demandedStartsPerSecond, inFlight(), inFlight() + largestRefusedJob);
    }

    /** Starts a new measuring interval after 1 s. Waiting tasks count as demand while the quota blocks their start. */
    void rollInterval(long nowNanos) {
        long elapsedNanos = nowNanos - intervalStartNanos;
        if (elapsedNanos < INTERVAL_NANOS) {
            return;
        }
        double seconds = (double) elapsedNanos / INTERVAL_NANOS;
        int throttled = mayStart(nowNanos) ? 0 : waiting;
        startsPerSecond = startsInInterval / seconds;
        demandedStartsPerSecond = (startsInInterval + refusedInInterval + throttled) / seconds;
        startsInInterval = 0;
        refusedInInterval = 0;
        intervalsSinceRefusal++;
        if (intervalsSinceRefusal > REFUSED_DEMAND_INTERVALS) {
            largestRefusedJob = 0;
        }
        intervalStartNanos = nowNanos;
    }
}
