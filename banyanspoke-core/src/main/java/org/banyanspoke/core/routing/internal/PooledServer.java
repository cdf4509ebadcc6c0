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
import org.banyanspoke.core.schedule.SlotAccess;

/** Learned state of one backend server. */
final class PooledServer implements ServerCandidate {
    /** Round trip to another availability zone, 1 to 1.4 ms each way; used only to rank otherwise equal servers. */
    private static final long CROSS_ZONE_ROUND_TRIP_NANOS = 2_800_000;

    /** A failure within this fraction of the expected time counts twice, so that fast failures don't attract tasks. */
    private static final double FAST_FAILURE_FRACTION = 0.25;

    /**
     * Slots of each server that overloading work leaves free for other work. Without reserved slots, other work retains
     * a fraction of only 0.970 of its completed jobs during an overload with little spare capacity.
     */
    private static final double RESERVED_SLOTS = 1;

    /** Validity of a load report; older reports are outdated because most tasks run for 50 ms to 1 s. */
    private static final long LOAD_REPORT_TTL_NANOS = 2_000_000_000;

    private final RunTimeRatio runTimeRatio = new RunTimeRatio();
    private final RunTimeDistribution runTimeDistribution = new RunTimeDistribution();
    private final SelfReportedLeaving selfReportedLeaving = new SelfReportedLeaving();
    private final Ejection ejection;
    private final ConcurrencyWindow concurrencyWindow;
    private BackendServerConfig config;
    private boolean sameZone;
    private boolean leavingExternally;
    private int assignedHosts;
    private double window;
    private int inFlight;
    private boolean lastFailed;
    private double otherHostsLoad;
    private boolean loadReported;
    private long loadReportExpiryNanos;
    private double defaultRatio = 1;

    PooledServer(ConcurrencyWindow concurrencyWindow, OutlierDetector detector) {
        this.concurrencyWindow = concurrencyWindow;
        this.ejection = new Ejection(detector);
    }

    void configure(BackendServerConfig newConfig, boolean newSameZone, int newAssignedHosts) {
        boolean changed = config != null && !config.equals(newConfig);
        if (changed && newConfig.state() == ServerState.IN_SERVICE) {
            selfReportedLeaving.clear();
        }
        if (config == null || newAssignedHosts != assignedHosts) {
            window = AdaptiveWindow.initial(newConfig.slots(), newAssignedHosts);
        }
        config = newConfig;
        sameZone = newSameZone;
        assignedHosts = newAssignedHosts;
    }

    /**
     * Sets whether the control plane reports the server as leaving. The end of its report also ends the server's own.
     */
    void setLeavingExternally(boolean leaving) {
        if (leavingExternally && !leaving) {
            selfReportedLeaving.clear();
        }
        leavingExternally = leaving;
    }

    void setDefaultRatio(double newRatio) {
        defaultRatio = newRatio;
    }

    BackendServerConfig config() {
        return config;
    }

    boolean isLeaving() {
        return config.state() == ServerState.LEAVING || leavingExternally || selfReportedLeaving.isSet();
    }

    boolean admits(long nowNanos, boolean idempotent) {
        return !isLeaving() && ejection.admits(nowNanos, idempotent, inFlight);
    }

    /**
     * Returns whether the server has capacity for a claim. The window divides the slots evenly among the hosts. A claim
     * to all slots may exceed it while a recent load report shows free slots; a claim to unreserved slots must leave
     * {@link #RESERVED_SLOTS} free. A server with all slots free accepts either claim; otherwise a server with one slot
     * would never run work that is limited to unreserved slots.
     */
    boolean hasCapacity(long nowNanos, SlotAccess claim) {
        boolean inWindow = inFlight < (int) window;
        if (!loadReported || loadReportExpiryNanos - nowNanos <= 0) {
            return inWindow;
        }
        double free = slots() - expectedLoad();
        return claim == SlotAccess.ALL_SLOTS
                ? inWindow || (free >= 1 && inFlight < AdaptiveWindow.MAX)
                : inWindow && free >= Math.min(slots(), 1 + RESERVED_SLOTS);
    }

    /** Returns whether the last result was a failure. */
    boolean lastFailed() {
        return lastFailed;
    }

    boolean isEjected(long nowNanos) {
        return ejection.isEjected(nowNanos);
    }

    /** Returns whether about 95% of the tasks on this server complete within a duration; true with too few results. */
    boolean completesWithin(double maxRunNanos) {
        return runTimeDistribution.p95Nanos() <= maxRunNanos;
    }

    double window() {
        return window;
    }

    void onSent() {
        inFlight++;
    }

    /**
     * Records the result of an attempt.
     *
     * @param otherServersFail whether most other servers fail too, so that the task is the likely cause of a failure
     */
    void onEnded(TaskSpec task, AttemptResult result, long nowNanos, boolean otherServersFail) {
        selfReportedLeaving.onResponse(result.serverLeaving(), result.serverIncarnation());
        adjustWindow(task, result);
        inFlight = Math.max(0, inFlight - 1);
        if (result.load() != null) {
            otherHostsLoad = Math.max(0, result.load().running() + result.load().queued() - inFlight);
            loadReported = true;
            loadReportExpiryNanos = nowNanos + LOAD_REPORT_TTL_NANOS;
        }
        lastFailed = result.outcome() != AttemptResult.Outcome.DONE;
        if (!lastFailed) {
            ejection.onSuccess(nowNanos);
            runTimeRatio.add(result.elapsedNanos(), task.declaredMillis());
            runTimeDistribution.add(result.elapsedNanos());
        } else if (!otherServersFail) {
            // Failures don't update the run time: a server that fails immediately would appear fast.
            ejection.onFailure(nowNanos, failureWeight(task, result));
        }
    }

    /** Records the end of a stopped task, which doesn't affect failure history, run times or window. */
    void onStopped(AttemptResult result) {
        selfReportedLeaving.onResponse(result.serverLeaving(), result.serverIncarnation());
        inFlight = Math.max(0, inFlight - 1);
    }

    private void adjustWindow(TaskSpec task, AttemptResult result) {
        LoadReport load = result.load();
        if (load == null && result.outcome() != AttemptResult.Outcome.DONE) {
            return;
        }
        window = concurrencyWindow.adjust(new ConcurrencyWindow.Observation(
                window, inFlight, slots(), assignedHosts, load, result.elapsedNanos() / expectedNanos(task)));
    }

    private int failureWeight(TaskSpec task, AttemptResult result) {
        return result.elapsedNanos() < FAST_FAILURE_FRACTION * expectedNanos(task) ? 2 : 1;
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
        return inFlight + otherHostsLoad;
    }

    @Override
    public double runTimeRatio() {
        return runTimeRatio.valueOr(defaultRatio);
    }

    @Override
    public long roundTripNanos() {
        return sameZone ? 0 : CROSS_ZONE_ROUND_TRIP_NANOS;
    }
}
