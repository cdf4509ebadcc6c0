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
import org.banyanspoke.core.pool.TaskShape;

/** A job that has been taken and not answered, or whose last runs are being stopped. */
final class JobProgress {
    /** The wait that is expected when no server can run the job. */
    static final long NO_SERVER = -1;

    private final PooledJob job;
    private final long arrivalMillis;
    private final long targetMillis;
    private final long usefulUntilMillis;
    private final List<Consumer<JobOutcome>> waiting = new ArrayList<>();
    private final Deque<Integer> pending = new ArrayDeque<>();
    private final Map<Integer, Integer> runNumbers = new HashMap<>();
    private final Map<Integer, Integer> failures = new HashMap<>();
    private final Map<Integer, Set<ServerId>> failedOn = new HashMap<>();
    private final Map<RunKey, OwnedServer> runs = new HashMap<>();
    private long expectedWaitMillis = NO_SERVER;
    private int done;
    private boolean started;
    private long firstStartMillis;
    private JobOutcome outcome;

    /**
     * @param job the job
     * @param arrivalMillis when an entry host read the request
     * @param targetMillis until then its end is in time
     * @param usefulUntilMillis until then its end is of use to the caller
     */
    JobProgress(PooledJob job, long arrivalMillis, long targetMillis, long usefulUntilMillis) {
        this.job = job;
        this.arrivalMillis = arrivalMillis;
        this.targetMillis = targetMillis;
        this.usefulUntilMillis = usefulUntilMillis;
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

    TaskShape shape() {
        return job.shape();
    }

    int priority() {
        return job.terms().priority();
    }

    long arrivalMillis() {
        return arrivalMillis;
    }

    long targetMillis() {
        return targetMillis;
    }

    /** Returns until when the job's end is in time if its longest task takes as long as the estimate says. */
    long estimatedTargetMillis() {
        return arrivalMillis
                + (long) (job.terms().stretch() * job.shape().estimateMillis())
                + job.terms().targetLatencyMillis();
    }

    long usefulUntilMillis() {
        return usefulUntilMillis;
    }

    long patienceEndMillis() {
        return arrivalMillis + job.patienceMillis();
    }

    void addWaiting(Consumer<JobOutcome> whenEnded) {
        waiting.add(whenEnded);
    }

    long expectedWaitMillis() {
        return expectedWaitMillis;
    }

    void expectWait(long millis) {
        expectedWaitMillis = millis;
    }

    int pendingTasks() {
        return pending.size();
    }

    boolean started() {
        return started;
    }

    long firstStartMillis() {
        return firstStartMillis;
    }

    boolean over() {
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

    /** Whether the next task has failed on a server before. */
    boolean nextTaskFailedOn(ServerId server) {
        return failedOn.getOrDefault(pending.peek(), Set.of()).contains(server);
    }

    /** Takes the next task for a server and numbers its run. */
    RunKey nextRun(OwnedServer server, long nowMillis) {
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

    /** Takes note of a task that has ended well. Returns whether it was the last one. */
    boolean taskDone(RunKey run) {
        runs.remove(run);
        done++;
        return done == job.tasks();
    }

    /** Takes note of a failed run. Returns how often the task has failed. */
    int taskFailed(RunKey run, ServerId server) {
        int index = run.task().index();
        failedOn.computeIfAbsent(index, key -> new HashSet<>()).add(server);
        return failures.merge(index, 1, Integer::sum);
    }

    /** Whether an earlier run of the same task has failed. */
    boolean hasFailedBefore(RunKey run) {
        return failures.containsKey(run.task().index());
    }

    /** Forgets a run that is certainly over; its task waits again unless the job has ended. */
    void runOver(RunKey run) {
        runs.remove(run);
        if (outcome == null) {
            pending.addFirst(run.task().index());
        }
    }

    /** Answers the caller, once. */
    void end(JobOutcome result) {
        if (outcome != null) {
            return;
        }
        outcome = result;
        pending.clear();
        List<Consumer<JobOutcome>> told = List.copyOf(waiting);
        waiting.clear();
        told.forEach(each -> each.accept(result));
    }
}
