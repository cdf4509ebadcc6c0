package org.banyanspoke.host.standins;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** What all backend servers together have run, and which promises were broken. */
public final class RunLedger {
    private final Map<String, Integer> starts = new HashMap<>();
    private final Set<String> running = new HashSet<>();
    private final Set<String> done = new HashSet<>();
    private final List<String> violations = new ArrayList<>();

    synchronized void started(String task, boolean overCapacity) {
        starts.merge(task, 1, Integer::sum);
        if (!running.add(task)) {
            violations.add(task + " runs twice at the same time");
        }
        if (done.contains(task)) {
            violations.add(task + " starts after it was done");
        }
        if (overCapacity) {
            violations.add(task + " starts beyond the capacity of its server");
        }
    }

    synchronized void ended(String task, String how) {
        running.remove(task);
        if (how.equals("done")) {
            done.add(task);
        }
    }

    /** Returns the broken promises. */
    public synchronized List<String> violations() {
        return List.copyOf(violations);
    }

    /** Returns how many tasks of a job have been done. */
    public synchronized long done(String job) {
        return done.stream().filter(task -> task.startsWith(job)).count();
    }

    /** Returns how many tasks of a job have ever begun. */
    public synchronized long begun(String job) {
        return starts.keySet().stream().filter(task -> task.startsWith(job)).count();
    }

    /** Returns whether anything runs. */
    public synchronized boolean idle() {
        return running.isEmpty();
    }
}
