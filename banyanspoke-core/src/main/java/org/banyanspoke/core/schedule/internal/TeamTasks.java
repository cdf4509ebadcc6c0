package org.banyanspoke.core.schedule.internal;

import java.util.HashMap;
import java.util.Map;
import org.banyanspoke.api.ids.BatchId;
import org.banyanspoke.api.ids.TeamId;
import org.banyanspoke.core.schedule.DispatchFilter;
import org.banyanspoke.core.schedule.SlotAccess;

/**
 * Waiting and sent tasks of one team in one class.
 *
 * <p>The virtual time is the slot time that the team has used, including an estimate for the tasks in flight, divided
 * by the weight of the team. Teams are ordered by lowest virtual time.
 */
final class TeamTasks implements Comparable<TeamTasks> {
    private final TeamId team;
    private final ClassTasks classTasks;
    private final int sequence;
    private final Map<BatchId, BatchTasks> batches = new HashMap<>();
    private int weight = 1;
    private int size;
    private int inFlight;
    private double usedNanos;
    private double meanServiceNanos;
    private final BacklogTracker backlog;
    private final TypicalUsage usage;

    TeamTasks(TeamId team, ClassTasks classTasks, int sequence, double meanServiceNanos, long nowNanos) {
        this.team = team;
        this.classTasks = classTasks;
        this.sequence = sequence;
        this.meanServiceNanos = meanServiceNanos;
        this.backlog = new BacklogTracker(nowNanos);
        this.usage = new TypicalUsage(nowNanos);
    }

    TeamId team() {
        return team;
    }

    ClassTasks classTasks() {
        return classTasks;
    }

    int size() {
        return size;
    }

    int weight() {
        return weight;
    }

    int inFlight() {
        return inFlight;
    }

    double virtualTime() {
        return (usedNanos + inFlight * meanServiceNanos) / weight;
    }

    /** Sets the weight without changing the virtual time. */
    void setWeight(int newWeight) {
        double virtualTime = virtualTime();
        weight = Math.max(1, newWeight);
        setVirtualTime(virtualTime);
    }

    /** Raises the virtual time to the given value if it is lower, so that a team gains no credit while it is idle. */
    void raiseVirtualTime(double virtualTime) {
        if (virtualTime() < virtualTime) {
            setVirtualTime(virtualTime);
        }
    }

    private void setVirtualTime(double virtualTime) {
        usedNanos = virtualTime * weight - inFlight * meanServiceNanos;
    }

    BatchTasks batch(BatchId id) {
        return batches.computeIfAbsent(id, unused -> new BatchTasks(this));
    }

    void removeIfEmpty(BatchId id, BatchTasks batch) {
        if (batch.isEmpty()) {
            batches.remove(id);
        }
    }

    void changeSize(int change, long nowNanos) {
        if (size == 0) {
            backlog.onEmpty(nowNanos);
        }
        size += change;
    }

    void onSent(long nowNanos) {
        updateUsage(nowNanos);
        inFlight++;
    }

    void onEnded(long serviceNanos, long nowNanos) {
        updateUsage(nowNanos);
        inFlight = Math.max(0, inFlight - 1);
        usedNanos += serviceNanos;
        meanServiceNanos = ServiceTimes.updatedMean(meanServiceNanos, serviceNanos);
    }

    private void updateUsage(long nowNanos) {
        usage.update(nowNanos, inFlight, hasSustainedBacklog(nowNanos));
    }

    /** Sets the number of slots that the team receives in a sustained overload. */
    void setGuaranteedSlots(double slots) {
        usage.setGuaranteedSlots(slots);
    }

    /** Returns the rank among teams with a sustained backlog; the lowest rank is served first. */
    double rank() {
        return usage.rank(inFlight, size);
    }

    /** Returns the slots that the tasks of the team may use while the team has a sustained backlog. */
    SlotAccess slotAccess() {
        return usage.isOverload(inFlight, size) ? SlotAccess.UNRESERVED_SLOTS : SlotAccess.ALL_SLOTS;
    }

    /** Returns the number of slots that the team typically uses. */
    double typicalSlots() {
        return usage.slots();
    }

    boolean hasSustainedBacklog(long nowNanos) {
        return backlog.isSustained(size, nowNanos);
    }

    /** Returns the job with the earliest deadline among the sendable batches, or null. */
    JobTasks firstSendable(DispatchFilter filter, SlotAccess access, long poll) {
        while (true) {
            JobTasks first = firstCandidate(poll);
            if (first == null || filter.test(first.first(), access)) {
                return first;
            }
            first.batch().markUnsendable(poll);
        }
    }

    private JobTasks firstCandidate(long poll) {
        JobTasks best = null;
        for (BatchTasks batch : batches.values()) {
            if (batch.isUnsendable(poll)) {
                continue;
            }
            JobTasks job = batch.firstJob();
            if (best == null || job.compareTo(best) < 0) {
                best = job;
            }
        }
        return best;
    }

    @Override
    public int compareTo(TeamTasks other) {
        int byTime = Double.compare(virtualTime(), other.virtualTime());
        return byTime != 0 ? byTime : Integer.compare(sequence, other.sequence);
    }

    @Override
    public boolean equals(Object other) {
        return this == other;
    }

    @Override
    public int hashCode() {
        return sequence;
    }
}
