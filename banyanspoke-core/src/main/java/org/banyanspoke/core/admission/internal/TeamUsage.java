package org.banyanspoke.core.admission.internal;

import java.util.concurrent.TimeUnit;
import org.banyanspoke.core.dispatch.DispatcherStats.TeamDemand;
import org.banyanspoke.core.quota.QuotaShares.Share;

/** Use of one team's quota at this host. */
public final class TeamUsage {
    private static final long METER_NANOS = TimeUnit.SECONDS.toNanos(1);

    /** Callers retry a refused job after 1 s; a loan that is asked for meanwhile lasts 5 s. */
    private static final int REFUSED_INTERVALS = 5;

    private final StartBucket bucket;
    private Share share;
    private int waiting;
    private int running;

    private long meterStartNanos;
    private int meterStarts;
    private int meterRefused;
    private int largestRefused;
    private int intervalsSinceRefused;
    private double startsPerSecond;
    private double wantedPerSecond;

    TeamUsage(Share share, long nowNanos) {
        bucket = new StartBucket(share, nowNanos);
        this.share = share;
        meterStartNanos = nowNanos;
    }

    void setShare(Share latest, long nowNanos) {
        bucket.setShare(latest, nowNanos);
        share = latest;
    }

    /** Records tasks that begin to wait. */
    public void onWaiting(int tasks) {
        waiting += tasks;
        if (tasks >= largestRefused) {
            largestRefused = 0;
        }
    }

    /** Records waiting tasks that will not be sent. */
    public void onWithdrawn(int tasks) {
        waiting -= tasks;
    }

    /** Returns whether the quota allows a start now. */
    public boolean mayStart(long nowNanos) {
        return bucket.ready(nowNanos) >= 1;
    }

    /** Records that a waiting task is sent. */
    public void onSent() {
        bucket.take();
        waiting--;
        running++;
        meterStarts++;
    }

    /** Records that a sent task holds no slot any more. */
    public void onEnded() {
        running--;
    }

    /** Records the tasks of a job that was refused because of the quota. */
    public void onRefused(int tasks) {
        meterRefused += tasks;
        if (tasks >= largestRefused) {
            largestRefused = tasks;
            intervalsSinceRefused = 0;
        }
    }

    /** Returns the tasks that wait. */
    public int waiting() {
        return waiting;
    }

    /** Returns the tasks that wait or run. */
    public int inFlight() {
        return waiting + running;
    }

    /** Returns the tasks that may wait or run at a time. */
    public int maxInFlight(long nowNanos) {
        return share.tasksInFlightAt(nowNanos);
    }

    /** Returns the starts that the quota allows at once. */
    public double startsReady(long nowNanos) {
        return bucket.ready(nowNanos);
    }

    /** Returns the starts a second that the quota allows at present. */
    public double allowedPerSecond(long nowNanos) {
        return bucket.ratePerSecond(nowNanos);
    }

    /** Returns starts and demand of the last whole second. */
    public TeamDemand demand(long nowNanos) {
        rollMeter(nowNanos);
        return new TeamDemand(startsPerSecond, wantedPerSecond, inFlight(), inFlight() + largestRefused);
    }

    /** Closes the meter's interval when it has lasted a second. Waiting tasks count as wanted if quota holds them. */
    void rollMeter(long nowNanos) {
        long elapsedNanos = nowNanos - meterStartNanos;
        if (elapsedNanos < METER_NANOS) {
            return;
        }
        double seconds = (double) elapsedNanos / METER_NANOS;
        int held = mayStart(nowNanos) ? 0 : waiting;
        startsPerSecond = meterStarts / seconds;
        wantedPerSecond = (meterStarts + meterRefused + held) / seconds;
        meterStarts = 0;
        meterRefused = 0;
        intervalsSinceRefused++;
        if (intervalsSinceRefused > REFUSED_INTERVALS) {
            largestRefused = 0;
        }
        meterStartNanos = nowNanos;
    }
}
