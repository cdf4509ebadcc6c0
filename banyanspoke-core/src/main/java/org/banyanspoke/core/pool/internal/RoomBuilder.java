package org.banyanspoke.core.pool.internal;

import java.util.Arrays;
import org.banyanspoke.core.pool.CapacityHistogram;
import org.banyanspoke.core.pool.FreeRoom;

/** Adds up the capacity of servers. */
final class RoomBuilder {
    private final int[] freeMillicores;
    private final int[] totalMillicores;
    private int count;
    private long capacity;
    private long free;
    private long used;
    private int runs;
    private long runningWork;

    RoomBuilder(int maxServers) {
        this.freeMillicores = new int[maxServers];
        this.totalMillicores = new int[maxServers];
    }

    void add(OwnedServer server) {
        freeMillicores[count] = server.freeCpu();
        totalMillicores[count] = server.descriptor().cpuMillicores();
        count++;
        capacity += server.descriptor().cpuMillicores();
        free += server.freeCpu();
        used += server.usedCpu();
        runs += server.runCount();
        runningWork += server.runningWork();
    }

    long capacityMillicores() {
        return capacity;
    }

    long freeMillicores() {
        return free;
    }

    /** Returns the mean expected run time of the running tasks, weighted by their processor share; 0 if none. */
    long meanRunMillis() {
        return used == 0 ? 0 : runningWork / used;
    }

    /** Returns the mean processor share of the running tasks, in thousandths of a core; 0 if none. */
    int meanTaskMillicores() {
        return runs == 0 ? 0 : (int) (used / runs);
    }

    FreeRoom build() {
        return new FreeRoom(
                CapacityHistogram.of(Arrays.copyOf(freeMillicores, count)),
                CapacityHistogram.of(Arrays.copyOf(totalMillicores, count)));
    }
}
