package org.banyanspoke.core.pool.internal;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.banyanspoke.core.pool.RunKey;
import org.banyanspoke.core.pool.ServerDescriptor;
import org.banyanspoke.core.pool.TaskRequirements;

/** The runs on one server, and the capacity that they reserve. */
final class ServerRuns {
    private final Map<RunKey, Run> runs = new HashMap<>();
    private int cpuMillicores;
    private int memoryMegabytes;
    private int gpus;
    private long expectedWork;

    void add(Run run) {
        runs.put(run.key, run);
        cpuMillicores += run.cpuMillicores;
        memoryMegabytes += run.memoryMegabytes;
        gpus += run.gpus;
        expectedWork += run.expectedWork();
    }

    void remove(Run run) {
        runs.remove(run.key);
        cpuMillicores -= run.cpuMillicores;
        memoryMegabytes -= run.memoryMegabytes;
        gpus -= run.gpus;
        expectedWork -= run.expectedWork();
    }

    /** Removes and returns all runs. */
    List<Run> removeAll() {
        List<Run> removed = list();
        removed.forEach(this::remove);
        return removed;
    }

    /** Returns a run, or null if it is not on the server. */
    Run get(RunKey key) {
        return runs.get(key);
    }

    /** Returns the runs as they are now. */
    List<Run> list() {
        return List.copyOf(runs.values());
    }

    boolean isEmpty() {
        return runs.isEmpty();
    }

    int size() {
        return runs.size();
    }

    /** Returns the reserved processor capacity, in thousandths of a core. */
    int cpuMillicores() {
        return cpuMillicores;
    }

    /** Returns the total expected work of all runs from start to end, in millicore-milliseconds. */
    long expectedWork() {
        return expectedWork;
    }

    /** Returns whether a task fits beside the runs on a server. Compares differences, because sums may overflow. */
    boolean leaveRoomFor(TaskRequirements requirements, ServerDescriptor server) {
        return requirements.cpuMillicores() <= server.cpuMillicores() - cpuMillicores
                && requirements.memoryMegabytes() <= server.memoryMegabytes() - memoryMegabytes
                && requirements.gpus() <= server.gpus() - gpus;
    }

    /** Returns the expected free capacity of a server over time. */
    RoomTimeline timeline(ServerDescriptor server, long nowMillis) {
        RoomTimeline timeline = new RoomTimeline(
                nowMillis,
                server.cpuMillicores() - cpuMillicores,
                server.memoryMegabytes() - memoryMegabytes,
                server.gpus() - gpus);
        for (Run run : runs.values()) {
            timeline.addRelease(run.expectedEndMillis(nowMillis), run.cpuMillicores, run.memoryMegabytes, run.gpus);
        }
        return timeline;
    }
}
