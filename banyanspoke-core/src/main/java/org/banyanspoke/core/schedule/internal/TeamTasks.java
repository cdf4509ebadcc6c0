package org.banyanspoke.core.schedule.internal;

import java.util.HashMap;
import java.util.Map;
import org.banyanspoke.api.ids.BatchId;
import org.banyanspoke.api.ids.TeamId;
import org.banyanspoke.core.schedule.Sendable;
import org.banyanspoke.core.schedule.SlotClaim;

/**
 * Waiting and sent tasks of one team in one class.
 *
 * <p>The virtual time is the slot time that the team has used, including an estimate for the tasks in flight, divided by
 * its weight. The team with the lowest virtual time is served first.
 */
final class TeamTasks implements Comparable<TeamTasks> {
    private final TeamId team;
    private final ClassTasks owner;
    private final int sequence;
    private final Map<BatchId, BatchTasks> batches = new HashMap<>();
    private int weight = 1;
    private int size;
    private int inFlight;
    private double usedNanos;
    private double meanServiceNanos;
    private final Backlog backlog;
    private final UsageLevel usage;

    TeamTasks(TeamId team, ClassTasks owner, int sequence, double meanServiceNanos, long nowNanos) {
        this.team = team;
        this.owner = owner;
        this.sequence = sequence;
        this.meanServiceNanos = meanServiceNanos;
        this.backlog = new Backlog(nowNanos);
        this.usage = new UsageLevel(nowNanos);
    }

    TeamId team() {
        return team;
    }

    ClassTasks owner() {
        return owner;
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

    /** Changes the weight and keeps the virtual time. */
    void setWeight(int newWeight) {
        double virtualTime = virtualTime();
        weight = Math.max(1, newWeight);
        startFrom(virtualTime);
    }

    /** Removes the credit of an idle period: the team continues at the given virtual time if it is behind. */
    void catchUp(double virtualTime) {
        if (virtualTime() < virtualTime) {
            startFrom(virtualTime);
        }
    }

    private void startFrom(double virtualTime) {
        usedNanos = virtualTime * weight - inFlight * meanServiceNanos;
    }

    BatchTasks batch(BatchId id) {
        return batches.computeIfAbsent(id, unused -> new BatchTasks(this));
    }

    void dropIfEmpty(BatchId id, BatchTasks batch) {
        if (batch.isEmpty()) {
            batches.remove(id);
        }
    }

    void addSize(int change, long nowNanos) {
        if (size == 0) {
            backlog.onEmpty(nowNanos);
        }
        size += change;
    }

    void onSent(long nowNanos) {
        advance(nowNanos);
        inFlight++;
    }

    void onEnded(long serviceNanos, long nowNanos) {
        advance(nowNanos);
        inFlight = Math.max(0, inFlight - 1);
        usedNanos += serviceNanos;
        meanServiceNanos = ServiceTimes.updatedMean(meanServiceNanos, serviceNanos);
    }

    private void advance(long nowNanos) {
        usage.advance(nowNanos, inFlight, pilesUp(nowNanos));
    }

    /** Tells the slots that the team gets in a lasting overload. */
    void setGuaranteedSlots(double slots) {
        usage.setGuaranteedSlots(slots);
    }

    /** Returns the order among those whose work piles up, least first. */
    double rank() {
        return usage.rank(inFlight, size);
    }

    /** Returns what the team's work may claim once it piles up. */
    SlotClaim claim() {
        return usage.isFlood(inFlight, size) ? SlotClaim.YIELDING : SlotClaim.PROTECTED;
    }

    /** Returns the slots that the team usually uses. */
    double usualSlots() {
        return usage.slots();
    }

    boolean pilesUp(long nowNanos) {
        return backlog.pilesUp(size, nowNanos);
    }

    /** Returns the job with the earliest deadline among the sendable batches, or null. */
    JobTasks firstSendable(Sendable sendable, SlotClaim claim, long poll) {
        while (true) {
            JobTasks first = firstNotRefused(poll);
            if (first == null || sendable.test(first.first(), claim)) {
                return first;
            }
            first.batch().markRefused(poll);
        }
    }

    private JobTasks firstNotRefused(long poll) {
        JobTasks best = null;
        for (BatchTasks batch : batches.values()) {
            if (batch.isRefused(poll)) {
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
