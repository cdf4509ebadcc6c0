package org.banyanspoke.core.pool.internal;

import java.util.ArrayList;
import java.util.List;
import org.banyanspoke.core.pool.TaskRequirements;

/** Expected free capacity of one server over time, from the expected ends of its runs and the tasks planned there. */
final class RoomTimeline {
    /** Time of a start that is not expected at all. */
    static final long NEVER = Long.MAX_VALUE;

    /** Capacity that becomes free at a time. */
    private record Release(long atMillis, int cpuMillicores, int memoryMegabytes, int gpus) {}

    private final List<Release> releases = new ArrayList<>();
    private long nowMillis;
    private int freeCpu;
    private int freeMemory;
    private int freeGpus;

    RoomTimeline(long nowMillis, int freeCpu, int freeMemory, int freeGpus) {
        this.nowMillis = nowMillis;
        this.freeCpu = freeCpu;
        this.freeMemory = freeMemory;
        this.freeGpus = freeGpus;
    }

    /** Adds capacity that becomes free at a time; ignored if that is {@link #NEVER}. */
    void addRelease(long atMillis, int cpuMillicores, int memoryMegabytes, int gpus) {
        if (atMillis == NEVER) {
            return;
        }
        int index = releases.size();
        while (index > 0 && releases.get(index - 1).atMillis() > atMillis) {
            index--;
        }
        releases.add(index, new Release(atMillis, cpuMillicores, memoryMegabytes, gpus));
    }

    /** Returns the earliest time at which a task fits, or {@link #NEVER}. */
    long earliestStartMillis(TaskRequirements task) {
        int cpu = freeCpu;
        int memory = freeMemory;
        int gpus = freeGpus;
        long atMillis = nowMillis;
        int next = 0;
        while (cpu < task.cpuMillicores() || memory < task.memoryMegabytes() || gpus < task.gpus()) {
            if (next == releases.size()) {
                return NEVER;
            }
            Release release = releases.get(next++);
            cpu += release.cpuMillicores();
            memory += release.memoryMegabytes();
            gpus += release.gpus();
            atMillis = Math.max(atMillis, release.atMillis());
        }
        return atMillis;
    }

    /** Plans a task. Later tasks are expected to start no earlier than this one. */
    void plan(TaskRequirements task, long startMillis, long endMillis) {
        while (!releases.isEmpty() && releases.get(0).atMillis() <= startMillis) {
            Release release = releases.remove(0);
            freeCpu += release.cpuMillicores();
            freeMemory += release.memoryMegabytes();
            freeGpus += release.gpus();
        }
        freeCpu -= task.cpuMillicores();
        freeMemory -= task.memoryMegabytes();
        freeGpus -= task.gpus();
        nowMillis = startMillis;
        addRelease(endMillis, task.cpuMillicores(), task.memoryMegabytes(), task.gpus());
    }
}
