package org.banyanspoke.host;

import java.util.ArrayList;
import java.util.List;
import org.banyanspoke.core.pool.CapacityHistogram;
import org.banyanspoke.core.pool.FreeRoom;
import org.banyanspoke.core.pool.PoolLoad;
import org.banyanspoke.core.pool.QueuedCapacity;
import org.banyanspoke.peer.generated.HostStateMessage;

/** Converts between the load in a state message and the core type. */
final class RoomMessages {
    private RoomMessages() {}

    /** Adds the capacity by task size to a message, rounded down to the steps that a message carries. */
    static void encode(PoolLoad load, HostStateMessage.Builder message) {
        FreeRoom room = load.room().compact();
        for (CapacityHistogram.Step step : room.free().steps()) {
            message.addFreeStepMillicores(step.cpuMillicores()).addFreeStepServers(step.servers());
        }
        for (CapacityHistogram.Step step : room.total().steps()) {
            message.addTotalStepMillicores(step.cpuMillicores()).addTotalStepServers(step.servers());
        }
        for (QueuedCapacity queued : load.queuedByPriority()) {
            message.addQueuedPriority(queued.priority()).addQueuedPriorityMillicores(queued.millicores());
        }
        message.setMeanTaskMillicores(load.meanTaskMillicores())
                .setLargestQueuedMillicores(load.largestQueuedMillicores());
    }

    /** Decodes a load. Without steps, as sent by older builds, only its sums are known. */
    static PoolLoad decode(HostStateMessage message) {
        return new PoolLoad(
                message.getCapacityMillicores(),
                message.getFreeMillicores(),
                message.getQueuedCoreMillis(),
                message.getQueuedJobs(),
                message.getQueuedMillicores(),
                message.getRunMillis(),
                new FreeRoom(
                        histogram(message.getFreeStepMillicoresList(), message.getFreeStepServersList()),
                        histogram(message.getTotalStepMillicoresList(), message.getTotalStepServersList())),
                queued(message.getQueuedPriorityList(), message.getQueuedPriorityMillicoresList()),
                message.getMeanTaskMillicores(),
                message.getLargestQueuedMillicores());
    }

    /** Values without a counterpart are ignored. */
    private static CapacityHistogram histogram(List<Integer> millicores, List<Integer> servers) {
        List<CapacityHistogram.Step> steps = new ArrayList<>();
        for (int i = 0; i < Math.min(millicores.size(), servers.size()); i++) {
            steps.add(new CapacityHistogram.Step(millicores.get(i), servers.get(i)));
        }
        return new CapacityHistogram(steps);
    }

    private static List<QueuedCapacity> queued(List<Integer> priorities, List<Long> millicores) {
        List<QueuedCapacity> queued = new ArrayList<>();
        for (int i = 0; i < Math.min(priorities.size(), millicores.size()); i++) {
            queued.add(new QueuedCapacity(priorities.get(i), millicores.get(i)));
        }
        return List.copyOf(queued);
    }
}
