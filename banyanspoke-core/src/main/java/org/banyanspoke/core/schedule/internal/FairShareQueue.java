package org.banyanspoke.core.schedule.internal;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.banyanspoke.api.config.ClassShares;
import org.banyanspoke.api.config.UrgencyClass;
import org.banyanspoke.api.ids.JobId;
import org.banyanspoke.api.ids.TeamId;
import org.banyanspoke.core.schedule.DispatchFilter;
import org.banyanspoke.core.schedule.QueuedTask;
import org.banyanspoke.core.schedule.TaskQueue;
import org.banyanspoke.core.time.MonotonicClock;

/**
 * Queue that orders tasks by class, then by team, then by earliest deadline. Work without a sustained backlog is
 * served first, in order of urgency; then the class and the team with the lowest rank, that is with the lowest usage
 * relative to their typical usage, see {@link TypicalUsage}.
 */
public final class FairShareQueue implements TaskQueue {
    private static final UrgencyClass[] URGENCIES = UrgencyClass.values();

    private final MonotonicClock clock;
    private final ClassTasks[] classes = new ClassTasks[URGENCIES.length];
    private final Map<JobId, JobTasks> jobs = new HashMap<>();
    private ClassShares shares = ClassShares.DEFAULT;
    private long sequence;
    private long pollCount;

    /** Creates an empty queue with the default class shares. */
    public FairShareQueue(MonotonicClock clock) {
        this.clock = clock;
        for (UrgencyClass urgency : URGENCIES) {
            classes[urgency.ordinal()] = new ClassTasks(urgency, clock.nanos());
        }
    }

    @Override
    public void configure(ClassShares newShares) {
        shares = newShares;
    }

    @Override
    public void add(QueuedTask task) {
        long nowNanos = clock.nanos();
        ClassTasks classTasks = classes[task.batch().urgency().ordinal()];
        TeamTasks team = classTasks.team(task.batch().team(), nowNanos);
        JobTasks job = jobs.computeIfAbsent(task.job(), unused -> newJob(team, task));
        job.add(task);
        classTasks.add(team, task.teamWeight(), 1, nowNanos);
    }

    private JobTasks newJob(TeamTasks team, QueuedTask task) {
        BatchTasks batch = team.batch(task.batch().id());
        JobTasks job = new JobTasks(task.job(), batch, task.deadlineNanos(), sequence++);
        batch.add(job);
        return job;
    }

    @Override
    public Optional<QueuedTask> poll(DispatchFilter filter) {
        pollCount++;
        long nowNanos = clock.nanos();
        updateGuarantees();
        JobTasks job = firstWithoutSustainedBacklog(filter, nowNanos);
        job = job != null ? job : firstByUsage(filter);
        return job == null ? Optional.empty() : Optional.of(take(job, nowNanos));
    }

    private void updateGuarantees() {
        double slotsInUse = inFlight() + 1;
        for (ClassTasks tasks : classes) {
            tasks.setGuaranteedSlots(shares.percent(tasks.urgency()) / 100.0 * slotsInUse);
        }
    }

    /**
     * Returns the first sendable job of a team without a sustained backlog in the most urgent class that has one, or
     * null.
     */
    private JobTasks firstWithoutSustainedBacklog(DispatchFilter filter, long nowNanos) {
        for (ClassTasks tasks : classes) {
            JobTasks job = tasks.firstWithoutSustainedBacklog(filter, pollCount, nowNanos);
            if (job != null) {
                return job;
            }
        }
        return null;
    }

    /** Returns the first sendable job of the class with the lowest rank, or null. */
    private JobTasks firstByUsage(DispatchFilter filter) {
        JobTasks best = null;
        double bestRank = Double.MAX_VALUE;
        for (ClassTasks tasks : classes) {
            double rank = tasks.rank();
            if (tasks.size() == 0 || rank >= bestRank) {
                continue;
            }
            JobTasks job = tasks.firstSendable(filter, pollCount);
            if (job != null) {
                best = job;
                bestRank = rank;
            }
        }
        return best;
    }

    private int inFlight() {
        int sum = 0;
        for (ClassTasks tasks : classes) {
            sum += tasks.inFlight();
        }
        return sum;
    }

    private QueuedTask take(JobTasks job, long nowNanos) {
        QueuedTask task = job.removeFirst();
        if (job.size() == 0) {
            detach(job, task);
        }
        TeamTasks team = job.batch().team();
        team.classTasks().remove(team, 1, nowNanos);
        return task;
    }

    private void detach(JobTasks job, QueuedTask anyTask) {
        jobs.remove(job.job());
        job.batch().remove(job);
        job.batch().team().removeIfEmpty(anyTask.batch().id(), job.batch());
    }

    @Override
    public int removeJob(JobId id) {
        JobTasks job = jobs.get(id);
        if (job == null) {
            return 0;
        }
        detach(job, job.first());
        TeamTasks team = job.batch().team();
        team.classTasks().remove(team, job.size(), clock.nanos());
        return job.size();
    }

    @Override
    public void onSent(QueuedTask task) {
        ClassTasks classTasks = classes[task.batch().urgency().ordinal()];
        long nowNanos = clock.nanos();
        classTasks.onSent(classTasks.team(task.batch().team(), nowNanos), nowNanos);
    }

    @Override
    public void onEnded(QueuedTask task, long serviceNanos) {
        ClassTasks classTasks = classes[task.batch().urgency().ordinal()];
        long nowNanos = clock.nanos();
        classTasks.onEnded(classTasks.team(task.batch().team(), nowNanos), serviceNanos, nowNanos);
    }

    @Override
    public int size(UrgencyClass urgency) {
        return classes[urgency.ordinal()].size();
    }

    @Override
    public int size(TeamId team) {
        int sum = 0;
        for (ClassTasks tasks : classes) {
            TeamTasks teamTasks = tasks.find(team);
            sum += teamTasks == null ? 0 : teamTasks.size();
        }
        return sum;
    }

    @Override
    public long expectedWaitNanos(UrgencyClass urgency, TeamId team, double slots) {
        ClassTasks tasks = classes[urgency.ordinal()];
        if (tasks.size() == 0) {
            return 0;
        }
        double classSlots = Math.max(1, slots) * classFraction(urgency);
        double classWaitNanos = tasks.size() * tasks.meanServiceNanos() / classSlots;
        return (long) (classWaitNanos * Math.min(1, teamFractionOfWait(tasks, team)));
    }

    /**
     * Returns the fraction of the slots that a class with waiting tasks receives while the other classes have the
     * waiting tasks that they have now.
     */
    private double classFraction(UrgencyClass urgency) {
        int percent = shares.percent(urgency);
        boolean isMostUrgentWaiting = true;
        for (ClassTasks tasks : classes) {
            boolean other = tasks.urgency() != urgency;
            if (other && tasks.size() > 0 && tasks.urgency().ordinal() < urgency.ordinal()) {
                isMostUrgentWaiting = false;
            }
        }
        if (isMostUrgentWaiting) {
            percent = 100;
            for (ClassTasks tasks : classes) {
                percent -= tasks.urgency() != urgency && tasks.size() > 0 ? shares.percent(tasks.urgency()) : 0;
            }
        }
        double typicalFraction = classes[urgency.ordinal()].typicalSlots() / Math.max(1, inFlight());
        return Math.min(1, Math.max(Math.max(1, percent) / 100.0, typicalFraction));
    }

    /**
     * Returns the wait of the next task of a team, relative to the time needed to serve all waiting tasks of the
     * class.
     */
    private static double teamFractionOfWait(ClassTasks tasks, TeamId id) {
        TeamTasks team = tasks.find(id);
        if (team == null || team.size() == 0) {
            return 1.0 / tasks.size();
        }
        double shareOfClass = (double) team.weight() / tasks.waitingWeight();
        double currentFraction = (double) team.inFlight() / Math.max(1, tasks.inFlight());
        return team.size() / (Math.max(shareOfClass, currentFraction) * tasks.size());
    }
}
