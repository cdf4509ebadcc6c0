package org.banyanspoke.core.dispatch.internal;

import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.banyanspoke.api.config.ClassShares;
import org.banyanspoke.api.config.UrgencyClass;
import org.banyanspoke.api.job.TaskSpec;
import org.banyanspoke.core.admission.AdmissionLoad;
import org.banyanspoke.core.admission.AdmissionRequest;
import org.banyanspoke.core.admission.internal.TeamUsage;
import org.banyanspoke.core.admission.internal.TeamUsageTracker;
import org.banyanspoke.core.routing.ServerPool;
import org.banyanspoke.core.schedule.TaskQueue;
import org.banyanspoke.core.time.MonotonicClock;

/** Provides the load figures for admission decisions. */
final class LoadMeter {
    /** Wait assumed if no slot is usable: an ejected server returns after at most 60 s. */
    private static final long NO_SLOTS_WAIT_NANOS = TimeUnit.SECONDS.toNanos(60);

    /**
     * Period after a submission or result in which a class counts as active. Most tasks take up to 1 s and a few take
     * several seconds, so a class in use has a submission or a result in this period.
     */
    private static final long CLASS_ACTIVITY_NANOS = TimeUnit.SECONDS.toNanos(5);

    private final MonotonicClock clock;
    private final TaskQueue queue;
    private final ServerPool pool;
    private final TaskSender sender;
    private final TeamUsageTracker teams;
    private final ServiceTimes serviceTimes = new ServiceTimes();
    private final Map<UrgencyClass, Long> lastActiveNanos = new EnumMap<>(UrgencyClass.class);

    LoadMeter(MonotonicClock clock, TaskQueue queue, ServerPool pool, TaskSender sender, TeamUsageTracker teams) {
        this.clock = clock;
        this.queue = queue;
        this.pool = pool;
        this.sender = sender;
        this.teams = teams;
    }

    /** Records the service time of a completed task. */
    void onTaskDone(UrgencyClass urgency, long serviceNanos) {
        serviceTimes.addSample(urgency, serviceNanos);
        lastActiveNanos.put(urgency, clock.nanos());
    }

    AdmissionLoad load(AdmissionRequest request, ClassShares shares) {
        long nowNanos = clock.nanos();
        TeamUsage usage = teams.team(request.team());
        double slots = pool.usableSlots(request.batch());
        UrgencyClass urgency = request.batch().urgency();
        lastActiveNanos.put(urgency, nowNanos);
        double guaranteedSlots = slots * guaranteedFraction(urgency, shares, nowNanos);
        double teamSlots = guaranteedSlots / Math.max(1, teams.waitingTeams());
        return new AdmissionLoad(
                pool.hasEligible(request.batch()),
                slots,
                waitNanos(request, sender.waiting(urgency), guaranteedSlots),
                waitNanos(request, usage.waiting(), teamSlots),
                queue.expectedWaitNanos(urgency, request.team(), slots),
                usage.waiting(),
                usage.inFlight(),
                usage.maxInFlight(nowNanos),
                usage.startsPerSecondLimit(nowNanos),
                usage.availableStarts(nowNanos));
    }

    /**
     * Returns the share of a class relative to the shares of all active classes. Relative to the shares of all
     * classes, a host that serves a single class overestimates its wait by a factor of two and refuses work that it
     * could serve in time.
     */
    private double guaranteedFraction(UrgencyClass urgency, ClassShares shares, long nowNanos) {
        int activePercent = 0;
        for (UrgencyClass other : UrgencyClass.values()) {
            activePercent += isActive(other, nowNanos) ? shares.percent(other) : 0;
        }
        return activePercent == 0 ? 1 : (double) shares.percent(urgency) / activePercent;
    }

    private boolean isActive(UrgencyClass urgency, long nowNanos) {
        Long activeNanos = lastActiveNanos.get(urgency);
        return sender.waiting(urgency) > 0 || (activeNanos != null && nowNanos - activeNanos < CLASS_ACTIVITY_NANOS);
    }

    private long waitNanos(AdmissionRequest request, int waiting, double slots) {
        if (waiting == 0) {
            return 0;
        }
        double serviceNanos = serviceTimes.meanNanos(request.batch().urgency(), meanDeclaredNanos(request));
        return slots == 0 ? NO_SLOTS_WAIT_NANOS : (long) (waiting * serviceNanos / slots);
    }

    private static double meanDeclaredNanos(AdmissionRequest request) {
        return request.job().tasks().stream().mapToLong(TaskSpec::declaredMillis).average().stream()
                .map(millis -> millis * TimeUnit.MILLISECONDS.toNanos(1))
                .sum();
    }
}
