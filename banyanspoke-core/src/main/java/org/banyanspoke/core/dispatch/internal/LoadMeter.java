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

/** Measures the load that admission depends on. */
final class LoadMeter {
    /** A server that is set aside returns after at most 60 s. */
    private static final long NO_SLOTS_WAIT_NANOS = TimeUnit.SECONDS.toNanos(60);

    /** Most tasks last up to 1 s and a few several seconds, so a class in use has submissions or results in this time. */
    private static final long IN_USE_NANOS = TimeUnit.SECONDS.toNanos(5);

    private final MonotonicClock clock;
    private final TaskQueue queue;
    private final ServerPool pool;
    private final TaskSender sender;
    private final TeamUsageTracker teams;
    private final ServiceTimes serviceTimes = new ServiceTimes();
    private final Map<UrgencyClass, Long> lastUsedNanos = new EnumMap<>(UrgencyClass.class);

    LoadMeter(MonotonicClock clock, TaskQueue queue, ServerPool pool, TaskSender sender, TeamUsageTracker teams) {
        this.clock = clock;
        this.queue = queue;
        this.pool = pool;
        this.sender = sender;
        this.teams = teams;
    }

    /** Learns from a completed task. */
    void onDone(UrgencyClass urgency, long serviceNanos) {
        serviceTimes.onDone(urgency, serviceNanos);
        lastUsedNanos.put(urgency, clock.nanos());
    }

    AdmissionLoad load(AdmissionRequest request, ClassShares shares) {
        long nowNanos = clock.nanos();
        TeamUsage usage = teams.team(request.team());
        double slots = pool.usableSlots(request.batch());
        UrgencyClass urgency = request.batch().urgency();
        lastUsedNanos.put(urgency, nowNanos);
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
     * Returns the share of a class among the classes in use. With the share among all classes, a host that serves one class
     * refused work that would have waited half as long as estimated.
     */
    private double guaranteedFraction(UrgencyClass urgency, ClassShares shares, long nowNanos) {
        int usedPercent = 0;
        for (UrgencyClass other : UrgencyClass.values()) {
            usedPercent += isInUse(other, nowNanos) ? shares.percent(other) : 0;
        }
        return usedPercent == 0 ? 1 : (double) shares.percent(urgency) / usedPercent;
    }

    private boolean isInUse(UrgencyClass urgency, long nowNanos) {
        Long usedNanos = lastUsedNanos.get(urgency);
        return sender.waiting(urgency) > 0 || (usedNanos != null && nowNanos - usedNanos < IN_USE_NANOS);
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
