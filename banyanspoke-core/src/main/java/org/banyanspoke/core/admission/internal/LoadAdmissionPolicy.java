package org.banyanspoke.core.admission.internal;

import java.util.concurrent.TimeUnit;
import org.banyanspoke.api.errors.ErrorKind;
import org.banyanspoke.api.errors.RefusedException;
import org.banyanspoke.core.admission.AdmissionLoad;
import org.banyanspoke.core.admission.AdmissionPolicy;
import org.banyanspoke.core.admission.AdmissionRequest;

/** Admits jobs by quota and load, see design section 2.4. */
public final class LoadAdmissionPolicy implements AdmissionPolicy {
    /** Quota loans and rates change once per second, so an earlier retry meets the same quota. */
    private static final long QUOTA_RETRY_MILLIS = 1_000;

    /** An ejected server returns after 5 s at the earliest; adding a server needs a configuration change. */
    private static final long NO_SERVER_RETRY_MILLIS = 5_000;

    /** Limits the delay because the load of a host changes within seconds, whatever the estimated wait. */
    private static final long MAX_RETRY_MILLIS = 30_000;

    private final long maxClassWaitNanos;

    /**
     * Creates a policy.
     *
     * @param maxClassWaitNanos limit of the queueing time of a class at its guaranteed rate; half the promise of the
     *     job if that is longer
     */
    public LoadAdmissionPolicy(long maxClassWaitNanos) {
        this.maxClassWaitNanos = maxClassWaitNanos;
    }

    @Override
    public void admit(AdmissionRequest request, AdmissionLoad load) throws RefusedException {
        checkServer(request, load);
        checkTasksInFlight(request, load);
        checkStarts(request, load);
        checkClassWait(request, load);
        checkDeadline(request, load);
    }

    private static void checkServer(AdmissionRequest request, AdmissionLoad load) throws RefusedException {
        if (!load.serverEligible()) {
            throw new RefusedException(
                    ErrorKind.NO_ELIGIBLE_SERVER,
                    "no backend server in service may serve batch \""
                            + request.batch().id() + "\"",
                    NO_SERVER_RETRY_MILLIS);
        }
    }

    private static void checkTasksInFlight(AdmissionRequest request, AdmissionLoad load) throws RefusedException {
        int tasks = request.job().tasks().size();
        if (load.teamInFlight() + tasks > load.teamMaxInFlight()) {
            throw new RefusedException(
                    ErrorKind.QUOTA_EXCEEDED,
                    "team \"" + request.team() + "\" has " + load.teamInFlight() + " tasks in flight at this host; "
                            + tasks + " more would exceed its share of " + load.teamMaxInFlight(),
                    QUOTA_RETRY_MILLIS);
        }
    }

    /** Refuses a job whose last task can't start within its promise at the team's start rate. */
    private static void checkStarts(AdmissionRequest request, AdmissionLoad load) throws RefusedException {
        double requiredStarts = load.teamWaiting() + request.job().tasks().size() - load.teamAvailableStarts();
        double maxStarts = load.teamStartsPerSecond() * request.promiseMillis() / 1_000;
        if (requiredStarts > maxStarts) {
            throw new RefusedException(
                    ErrorKind.QUOTA_EXCEEDED,
                    "team \"" + request.team() + "\" may start " + load.teamStartsPerSecond()
                            + " tasks/s at this host, too few to start this job within "
                            + request.promiseMillis() + " ms",
                    QUOTA_RETRY_MILLIS);
        }
    }

    /**
     * Refuses jobs only of the teams that overload the class. Without the condition on the team, overload by one team
     * would block admission for all teams of its class. The limit grows with the promise: a fixed limit refused single
     * jobs on a recently started host although their promise was ten times the wait. The queue is bounded by the limit
     * plus one job per team.
     */
    private void checkClassWait(AdmissionRequest request, AdmissionLoad load) throws RefusedException {
        long limitNanos = Math.max(maxClassWaitNanos, TimeUnit.MILLISECONDS.toNanos(request.promiseMillis()) / 2);
        if (load.classWaitNanos() > limitNanos && load.teamWaitNanos() > limitNanos) {
            throw new RefusedException(
                    ErrorKind.OVERLOADED,
                    "class " + request.batch().urgency() + " has "
                            + TimeUnit.NANOSECONDS.toMillis(load.classWaitNanos())
                            + " ms of work waiting at its guaranteed rate",
                    retryMillis(TimeUnit.NANOSECONDS.toMillis(load.classWaitNanos() - limitNanos)));
        }
    }

    private static void checkDeadline(AdmissionRequest request, AdmissionLoad load) throws RefusedException {
        long waitMillis = TimeUnit.NANOSECONDS.toMillis(load.expectedWaitNanos());
        if (waitMillis >= request.promiseMillis()) {
            throw new RefusedException(
                    ErrorKind.OVERLOADED,
                    "the expected wait of a task is " + waitMillis + " ms, the promise is " + request.promiseMillis()
                            + " ms",
                    retryMillis(waitMillis - request.promiseMillis()));
        }
    }

    private static long retryMillis(long excessMillis) {
        return Math.min(MAX_RETRY_MILLIS, excessMillis + 1);
    }
}
