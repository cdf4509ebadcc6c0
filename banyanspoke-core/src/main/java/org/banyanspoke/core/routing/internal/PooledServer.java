package org.banyanspoke.core.routing.internal;

import org.banyanspoke.api.config.BackendServerConfig;
import org.banyanspoke.api.config.ServerState;
import org.banyanspoke.api.ids.ServerId;
import org.banyanspoke.api.job.TaskSpec;
import org.banyanspoke.core.dispatch.AttemptResult;
import org.banyanspoke.core.dispatch.DispatcherStats;
import org.banyanspoke.core.dispatch.LoadReport;
import org.banyanspoke.core.routing.ConcurrencyWindow;
import org.banyanspoke.core.routing.OutlierDetector;
import org.banyanspoke.core.routing.ServerCandidate;
import org.banyanspoke.core.schedule.SlotClaim;

/** Learned state of one server. */
final class PooledServer implements ServerCandidate {
    /** Round trip to another zone of the site, 1 to 1.4 ms each way; it only orders otherwise equal servers. */
    private static final long REMOTE_ROUND_TRIP_NANOS = 2_800_000;

    /** A failure in less than this part of the expected time counts as two, so that it attracts no work. */
    private static final double FAST_FAILURE = 0.25;

    /** Slots of each server that floods leave to other work; retained service in tight floods is 0.970 without any. */
    private static final double RESERVED_SLOTS = 1;

    /** An older load report says little, because most tasks last 50 ms to 1 s. */
    private static final long LOAD_REPORT_NANOS = 2_000_000_000;

    private final RunTimeRatio ratio = new RunTimeRatio();
    private final RunTimeDistribution runTimes = new RunTimeDistribution();
    private final SelfReportedLeaving leavingMark = new SelfReportedLeaving();
    private final Ejection ejection;
    private final ConcurrencyWindow windowRule;
    private BackendServerConfig config;
    private boolean sameZone;
    private boolean leavingElsewhere;
    private int sharers;
    private double window;
    private int inFlight;
    private boolean lastFailed;
    private double othersLoad;
    private boolean loadReported;
    private long loadKnownUntilNanos;
    private double unknownRatio = 1;

    PooledServer(ConcurrencyWindow windowRule, OutlierDetector detector) {
        this.windowRule = windowRule;
        this.ejection = new Ejection(detector);
    }

    void configure(BackendServerConfig newConfig, boolean inSameZone, int newSharers) {
        boolean changed = config != null && !config.equals(newConfig);
        if (changed && newConfig.state() == ServerState.IN_SERVICE) {
            leavingMark.clear();
        }
        if (config == null || newSharers != sharers) {
            window = AdaptiveWindow.initial(newConfig.slots(), newSharers);
        }
        config = newConfig;
        sameZone = inSameZone;
        sharers = newSharers;
    }

    /** The control plane's statement also covers what this server's own answers said, so its end clears the mark. */
    void setLeavingElsewhere(boolean leaving) {
        if (leavingElsewhere && !leaving) {
            leavingMark.clear();
        }
        leavingElsewhere = leaving;
    }

    void setUnknownRatio(double typical) {
        unknownRatio = typical;
    }

    BackendServerConfig config() {
        return config;
    }

    boolean isLeaving() {
        return config.state() == ServerState.LEAVING || leavingElsewhere || leavingMark.isSet();
    }

    boolean admits(long nowNanos, boolean idempotent) {
        return !isLeaving() && ejection.admits(nowNanos, idempotent, inFlight);
    }

    /**
     * Returns whether a claim finds room. The window divides the slots evenly among the hosts; a host with a burst of
     * protected work goes beyond it where the last report shows free slots, and floods leave it some. A server whose slots are
     * all free takes a flood's task too, or a server with one slot would never serve a flood.
     */
    boolean hasRoom(long nowNanos, SlotClaim claim) {
        boolean inWindow = inFlight < (int) window;
        if (!loadReported || loadKnownUntilNanos - nowNanos <= 0) {
            return inWindow;
        }
        double free = slots() - expectedLoad();
        return claim == SlotClaim.PROTECTED
                ? inWindow || (free >= 1 && inFlight < AdaptiveWindow.MAX)
                : inWindow && free >= Math.min(slots(), 1 + RESERVED_SLOTS);
    }

    /** Returns whether the last result was no success. */
    boolean lastFailed() {
        return lastFailed;
    }

    boolean isEjected(long nowNanos) {
        return ejection.isEjected(nowNanos);
    }

    /** Returns whether nearly all tasks end on this server within a time. */
    boolean endsWithin(double limitNanos) {
        return runTimes.highNanos() <= limitNanos;
    }

    double window() {
        return window;
    }

    void onSent() {
        inFlight++;
    }

    /**
     * Takes over the result of an attempt.
     *
     * @param othersFailToo whether a failure is more likely the task's fault than the server's
     */
    void onEnded(TaskSpec task, AttemptResult result, long nowNanos, boolean othersFailToo) {
        leavingMark.onAnswer(result.serverLeaving(), result.serverIncarnation());
        adjustWindow(task, result);
        inFlight = Math.max(0, inFlight - 1);
        if (result.load() != null) {
            othersLoad = Math.max(0, result.load().running() + result.load().queued() - inFlight);
            loadReported = true;
            loadKnownUntilNanos = nowNanos + LOAD_REPORT_NANOS;
        }
        lastFailed = result.outcome() != AttemptResult.Outcome.DONE;
        if (!lastFailed) {
            ejection.onSuccess(nowNanos);
            ratio.add(result.elapsedNanos(), task.declaredMillis());
            runTimes.add(result.elapsedNanos());
        } else if (!othersFailToo) {
            // Failures say nothing about speed: a server that fails at once would look fast.
            ejection.onFailure(nowNanos, failureWeight(task, result));
        }
    }

    /** A task that was stopped says nothing about the server's failures, speed or window. */
    void onStopped(AttemptResult result) {
        leavingMark.onAnswer(result.serverLeaving(), result.serverIncarnation());
        inFlight = Math.max(0, inFlight - 1);
    }

    private void adjustWindow(TaskSpec task, AttemptResult result) {
        LoadReport load = result.load();
        if (load == null && result.outcome() != AttemptResult.Outcome.DONE) {
            return;
        }
        window = windowRule.adjust(new ConcurrencyWindow.Observation(
                window, inFlight, slots(), sharers, load, result.elapsedNanos() / expectedNanos(task)));
    }

    private int failureWeight(TaskSpec task, AttemptResult result) {
        return result.elapsedNanos() < FAST_FAILURE * expectedNanos(task) ? 2 : 1;
    }

    private double expectedNanos(TaskSpec task) {
        return Math.max(1, task.declaredMillis()) * 1e6 * runTimeRatio();
    }

    DispatcherStats.ServerView view(long nowNanos) {
        return new DispatcherStats.ServerView(
                id(), window, inFlight, 1 / runTimeRatio(), isEjected(nowNanos), isLeaving());
    }

    @Override
    public ServerId id() {
        return config.id();
    }

    @Override
    public int slots() {
        return Math.max(1, config.slots());
    }

    @Override
    public double expectedLoad() {
        return inFlight + othersLoad;
    }

    @Override
    public double runTimeRatio() {
        return ratio.valueOr(unknownRatio);
    }

    @Override
    public long roundTripNanos() {
        return sameZone ? 0 : REMOTE_ROUND_TRIP_NANOS;
    }
}
