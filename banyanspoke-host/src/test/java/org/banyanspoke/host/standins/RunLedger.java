package org.banyanspoke.host.standins;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Records the task runs of all backend servers and the violated guarantees. */
public final class RunLedger {
    private final Map<String, Integer> starts = new HashMap<>();
    private final Set<String> running = new HashSet<>();
    private final Set<String> done = new HashSet<>();
    private final Set<String> failed = new HashSet<>();
    private final List<String> violations = new ArrayList<>();

    private final boolean allowRerun;

    /** Treats another start of a completed task as a violation. */
    public RunLedger() {
        this(false);
    }

    /**
     * @param allowRerun whether a completed task may start again, as callers retry jobs whose answers were lost
     */
    public RunLedger(boolean allowRerun) {
        this.allowRerun = allowRerun;
    }

    synchronized void started(String task, boolean overCapacity) {
        starts.merge(task, 1, Integer::sum);
        if (!running.add(task)) {
            violations.add(task + " runs twice at the same time");
        }
        if (!allowRerun && done.contains(task)) {
            violations.add(task + " started after its completion");
        }
        if (overCapacity) {
            violations.add(task + " started beyond the capacity of its server");
        }
    }

    synchronized void ended(String task, String outcome) {
        running.remove(task);
        if (outcome.equals("done")) {
            done.add(task);
        } else if (outcome.equals("failed")) {
            failed.add(task);
        }
    }

    /** Returns whether any task of a job has failed on its server. */
    public synchronized boolean hasFailedTask(String job) {
        return failed.stream().anyMatch(task -> task.startsWith(job));
    }

    /** Returns descriptions of the violated guarantees. */
    public synchronized List<String> violations() {
        return List.copyOf(violations);
    }

    /** Returns the number of tasks of a job that have completed. */
    public synchronized long completedTasks(String job) {
        return done.stream().filter(task -> task.startsWith(job)).count();
    }

    /** Returns the number of tasks of a job that have started at least once. */
    public synchronized long startedTasks(String job) {
        return starts.keySet().stream().filter(task -> task.startsWith(job)).count();
    }

    /** Returns whether no task is running. */
    public synchronized boolean idle() {
        return running.isEmpty();
    }
}
