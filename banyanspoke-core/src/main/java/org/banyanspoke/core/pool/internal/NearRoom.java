package org.banyanspoke.core.pool.internal;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import java.util.function.ToDoubleFunction;
import org.banyanspoke.core.pool.ServerDescriptor;
import org.banyanspoke.core.pool.TaskRequirements;

/**
 * Expected free capacity of a set of near servers during one pass over the queue. Each task that is planned uses up
 * capacity, so that several tasks do not wait for the end of the same run.
 */
final class NearRoom {
    /** Bounds the cost of a pass; tasks beyond this number do not wait. */
    private static final int MAX_PLANNED_TASKS = 128;

    private final List<ServerRoom> rooms = new ArrayList<>();
    private int plannedTasks;

    private record ServerRoom(OwnedServer server, RoomTimeline timeline) {}

    /**
     * Expected start of a task.
     *
     * @param startMillis time of the start
     * @param runMillis expected run time
     */
    record Slot(long startMillis, double runMillis) {
        double endMillis() {
            return startMillis + runMillis;
        }
    }

    /**
     * @param servers the near servers; servers that are not usable or have an open circuit breaker are left out
     */
    NearRoom(Collection<OwnedServer> servers, long nowMillis) {
        for (OwnedServer server : servers) {
            if (server.isUsable() && server.circuitBreaker().isClosed()) {
                rooms.add(new ServerRoom(server, server.timeline(nowMillis)));
            }
        }
    }

    /**
     * Plans tasks of a job one after the other, each where it is expected to end first, while the slots are accepted.
     *
     * @param runMillis expected run time of a task on a server
     * @return number of planned tasks
     */
    int plan(JobProgress job, int tasks, ToDoubleFunction<ServerDescriptor> runMillis, Predicate<Slot> accept) {
        Map<OwnedServer, Integer> plannedOnServer = new HashMap<>();
        int planned = 0;
        while (planned < tasks && plannedTasks < MAX_PLANNED_TASKS) {
            ServerRoom best = null;
            Slot bestSlot = null;
            for (ServerRoom room : rooms) {
                Slot slot = slot(job, room, plannedOnServer.getOrDefault(room.server(), 0), runMillis);
                if (slot != null && (bestSlot == null || slot.endMillis() < bestSlot.endMillis())) {
                    best = room;
                    bestSlot = slot;
                }
            }
            if (best == null || !accept.test(bestSlot)) {
                break;
            }
            best.timeline().plan(job.requirements(), bestSlot.startMillis(), (long) bestSlot.endMillis());
            plannedOnServer.merge(best.server(), 1, Integer::sum);
            planned++;
            plannedTasks++;
        }
        return planned;
    }

    /** Returns the next slot of a job on a server, or null if none is expected. */
    private static Slot slot(
            JobProgress job, ServerRoom room, int plannedOnServer, ToDoubleFunction<ServerDescriptor> runMillis) {
        TaskRequirements task = job.requirements();
        ServerDescriptor descriptor = room.server().descriptor();
        if (!descriptor.canRun(task) || job.isNextTaskExcludedFrom(descriptor.id())) {
            return null;
        }
        if (task.maxPerServer() > 0 && job.runsOn(room.server()) + plannedOnServer >= task.maxPerServer()) {
            return null;
        }
        long startMillis = room.timeline().earliestStartMillis(task);
        return startMillis == RoomTimeline.NEVER ? null : new Slot(startMillis, runMillis.applyAsDouble(descriptor));
    }
}
