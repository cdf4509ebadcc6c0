package org.banyanspoke.core.pool.internal;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.banyanspoke.api.ids.ServerId;
import org.banyanspoke.core.pool.CallerJobId;
import org.banyanspoke.core.pool.JobOutcome;
import org.banyanspoke.core.pool.PooledJob;
import org.banyanspoke.core.pool.RunKey;
import org.banyanspoke.core.pool.TaskKey;
import org.banyanspoke.core.pool.TaskRequirements;

/** State of a job that is in progress, or that has ended and whose last runs are being stopped. */
final class JobProgress {
    /** Expected wait of a job that no server can run. */
    static final long NO_SERVER = -1;

    private final PooledJob job;
    private final long arrivalMillis;
    private final long targetMillis;
    private final long expiresAtMillis;
    private final List<Consumer<JobOutcome>> callbacks = new ArrayList<>();
    private final Deque<Integer> pending = new ArrayDeque<>();
    private final Map<Integer, Integer> runNumbers = new HashMap<>();
    private final Map<Integer, Integer> failures = new HashMap<>();
    private final Map<Integer, Set<ServerId>> excludedServers = new HashMap<>();
    private final Map<RunKey, OwnedServer> runs = new HashMap<>();
    private long expectedWaitMillis = NO_SERVER;
    private int tasksDone;
    private boolean started;
    private long firstStartMillis;
    private JobOutcome outcome;
    private NearWait nearWait;

    /**
     * @param job the job
     * @param arrivalMillis time at which an entry host received the request
     * @param targetMillis target time for completion
     * @param expiresAtMillis time at which the result is no longer useful to the caller
     */
    JobProgress(PooledJob job, long arrivalMillis, long targetMillis, long expiresAtMillis) {
        this.job = job;
        this.arrivalMillis = arrivalMillis;
        this.targetMillis = targetMillis;
        this.expiresAtMillis = expiresAtMillis;
        for (int index = 0; index < job.tasks(); index++) {
            pending.add(index);
        }
    }

    PooledJob job() {
        return job;
    }

    CallerJobId id() {
        return job.id();
    }

    TaskRequirements requirements() {
        return job.requirements();
    }

    int priority() {
        return job.queuePolicy().priority();
    }

    long arrivalMillis() {
        return arrivalMillis;
    }

    long targetMillis() {
        return targetMillis;
    }

    /** Returns the target time for completion if the longest task takes exactly as long as estimated. */
    long estimatedTargetMillis() {
        return arrivalMillis
                + (long) (job.queuePolicy().stretch() * job.requirements().estimateMillis())
                + job.queuePolicy().targetLatencyMillis();
    }

    long expiresAtMillis() {
        return expiresAtMillis;
    }

    long callerDeadlineMillis() {
        return arrivalMillis + job.callerTimeoutMillis();
    }

    void addCallback(Consumer<JobOutcome> onOutcome) {
        callbacks.add(onOutcome);
    }

    long expectedWaitMillis() {
        return expectedWaitMillis;
    }

    void setExpectedWaitMillis(long millis) {
        expectedWaitMillis = millis;
    }

    int pendingTasks() {
        return pending.size();
    }

    /** Returns the number of pending tasks that start as soon as any server has room, which delays other tasks. */
    int competingTasks(long nowMillis) {
        return nearWait == null ? pending.size() : Math.max(0, pending.size() - nearWait.heldTasks(nowMillis));
    }

    /** Returns the wait for servers near the data of this job, or null if there has been none. */
    NearWait nearWait() {
        return nearWait;
    }

    void setNearWait(NearWait wait) {
        nearWait = wait;
    }

    boolean started() {
        return started;
    }

    long firstStartMillis() {
        return firstStartMillis;
    }

    boolean isEnded() {
        return outcome != null;
    }

    Collection<RunKey> runKeys() {
        return List.copyOf(runs.keySet());
    }

    OwnedServer serverOf(RunKey run) {
        return runs.get(run);
    }

    boolean hasRuns() {
        return !runs.isEmpty();
    }

    int runsOn(OwnedServer server) {
        int count = 0;
        for (OwnedServer each : runs.values()) {
            if (each == server) {
                count++;
            }
        }
        return count;
    }

    /** Returns whether the next task has failed on a server or was moved away from it. */
    boolean isNextTaskExcludedFrom(ServerId server) {
        return excludedServers.getOrDefault(pending.peek(), Set.of()).contains(server);
    }

    /** Returns whether the job fails if the next run of the next task does. */
    boolean isLastAttemptNext() {
        int earlierFailures = failures.getOrDefault(pending.peek(), 0);
        return earlierFailures > 0 && earlierFailures + 1 >= job.queuePolicy().maxAttempts();
    }

    /** Removes the next pending task, assigns it to a server and returns the key of the new run. */
    RunKey startNextTask(OwnedServer server, long nowMillis) {
        int index = pending.remove();
        int number = runNumbers.merge(index, 1, Integer::sum);
        RunKey run = new RunKey(new TaskKey(job.id(), index), number);
        runs.put(run, server);
        if (!started) {
            started = true;
            firstStartMillis = nowMillis;
        }
        return run;
    }

    /** Records the completion of a task. Returns whether all tasks are now complete. */
    boolean recordTaskDone(RunKey run) {
        runs.remove(run);
        tasksDone++;
        return tasksDone == job.tasks();
    }

    /** Excludes a server from further runs of a task. */
    void excludeServer(RunKey run, ServerId server) {
        excludedServers
                .computeIfAbsent(run.task().index(), key -> new HashSet<>())
                .add(server);
    }

    /** Records a failed run. Returns the number of failures of the task. */
    int recordTaskFailure(RunKey run, ServerId server) {
        int index = run.task().index();
        excludeServer(run, server);
        return failures.merge(index, 1, Integer::sum);
    }

    /** Returns the servers on which earlier runs of the same task failed or from which they were moved away. */
    Set<ServerId> excludedServers(RunKey run) {
        return excludedServers.getOrDefault(run.task().index(), Set.of());
    }

    /** Returns whether an earlier run of the same task has failed. */
    boolean hasFailedBefore(RunKey run) {
        return failures.containsKey(run.task().index());
    }

    /** Removes a run that has certainly ended; its task becomes pending again unless the job has ended. */
    void releaseRun(RunKey run) {
        runs.remove(run);
        if (outcome == null) {
            pending.addFirst(run.task().index());
        }
    }

    /** Sets the outcome and notifies all callers. Has no effect if the job has already ended. */
    void end(JobOutcome result) {
        if (outcome != null) {
            return;
        }
        outcome = result;
        pending.clear();
        List<Consumer<JobOutcome>> notified = List.copyOf(callbacks);
        callbacks.clear();
        notified.forEach(each -> each.accept(result));
    }
}
