package org.banyanspoke.core.admission.internal;

import java.util.concurrent.TimeUnit;
import org.banyanspoke.api.errors.ErrorKind;
import org.banyanspoke.api.errors.RefusedException;
import org.banyanspoke.core.admission.AdmissionLoad;
import org.banyanspoke.core.admission.AdmissionPolicy;
import org.banyanspoke.core.admission.AdmissionRequest;

/** The rules of design section 2.4 that depend on load and quota. */
public final class LoadRules implements AdmissionPolicy {
    /** Loans and rates change once a second, so an earlier try meets the same quota. */
    private static final long QUOTA_RETRY_MILLIS = 1_000;

    /** A server that is set aside returns after 5 s at the earliest, a new one needs a ticket. */
    private static final long NO_SERVER_RETRY_MILLIS = 5_000;

    /** The load of a host changes within seconds, whatever the present estimate of the wait. */
    private static final long MAX_RETRY_MILLIS = 30_000;

    private final long maxClassWaitNanos;

    /** Refuses jobs of a class for which more work waits than this or half their promise, at its guaranteed rate. */
    public LoadRules(long maxClassWaitNanos) {
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
                    "team \"" + request.team() + "\" has " + load.teamInFlight() + " tasks in flight at this host, "
                            + tasks + " more exceed its share of " + load.teamMaxInFlight(),
                    QUOTA_RETRY_MILLIS);
        }
    }

    /** The last start of the job must be possible within its promise at the team's rate. */
    private static void checkStarts(AdmissionRequest request, AdmissionLoad load) throws RefusedException {
        double starts = load.teamWaiting() + request.job().tasks().size() - load.teamStartsReady();
        double possible = load.teamStartsPerSecond() * request.promiseMillis() / 1_000;
        if (starts > possible) {
            throw new RefusedException(
                    ErrorKind.QUOTA_EXCEEDED,
                    "team \"" + request.team() + "\" may start " + load.teamStartsPerSecond()
                            + " tasks/s at this host, too few for this job within "
                            + request.promiseMillis() + " ms",
                    QUOTA_RETRY_MILLIS);
        }
    }

    /**
     * Refuses the teams that fill the class and no others: without the condition on the team, a flood by one team would
     * take admission from every team of its class. A job that may take long may also wait longer: a fixed limit refused
     * single jobs of a cold host whose promise left ten times the wait. What waits is bounded by the limit and one job of each team.
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
                    "a task waits about " + waitMillis + " ms at present, the promise is " + request.promiseMillis()
                            + " ms",
                    retryMillis(waitMillis - request.promiseMillis()));
        }
    }

    private static long retryMillis(long excessMillis) {
        return Math.min(MAX_RETRY_MILLIS, excessMillis + 1);
    }
}
