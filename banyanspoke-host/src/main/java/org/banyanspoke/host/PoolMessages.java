package org.banyanspoke.host;

import java.util.Collection;
import java.util.Set;
import java.util.stream.Collectors;
import org.banyanspoke.api.ids.HostId;
import org.banyanspoke.api.ids.ServerId;
import org.banyanspoke.api.ids.ZoneId;
import org.banyanspoke.core.ownership.HostState;
import org.banyanspoke.core.pool.CallerJobId;
import org.banyanspoke.core.pool.JobOutcome;
import org.banyanspoke.core.pool.PooledJob;
import org.banyanspoke.core.pool.QueuePolicy;
import org.banyanspoke.core.pool.TaskRequirements;
import org.banyanspoke.peer.generated.Frame;
import org.banyanspoke.peer.generated.HostStateMessage;
import org.banyanspoke.peer.generated.PoolJobCheck;
import org.banyanspoke.peer.generated.PoolJobReply;
import org.banyanspoke.peer.generated.PoolJobRequest;

/** Converts between messages of the peer protocol and core types. */
final class PoolMessages {
    private PoolMessages() {}

    /**
     * Encodes a state.
     *
     * @param sentMillis the sender's clock now
     */
    static HostStateMessage encode(HostState state, long sentMillis) {
        HostStateMessage.Builder message = HostStateMessage.newBuilder()
                .setHost(state.host().value())
                .setZone(state.zone().value())
                .setRegistration(state.registration())
                .setProcessorMillicores(state.processorMillicores())
                .setLeaving(state.leaving())
                .setRound(state.round())
                .setCapacityMillicores(state.load().capacityMillicores())
                .setFreeMillicores(state.load().freeMillicores())
                .setQueuedCoreMillis(state.load().queuedCoreMillis())
                .setQueuedJobs(state.load().queuedJobs())
                .setQueuedMillicores(state.load().queuedMillicores())
                .setRunMillis(state.load().meanRunMillis())
                .setSentMillis(sentMillis);
        state.heldServers().forEach(server -> message.addHeldServers(server.value()));
        RoomMessages.encode(state.load(), message);
        return message.build();
    }

    static HostState decode(HostStateMessage message) {
        Set<ServerId> held =
                message.getHeldServersList().stream().map(ServerId::new).collect(Collectors.toUnmodifiableSet());
        return new HostState(
                new HostId(message.getHost()),
                new ZoneId(message.getZone()),
                message.getRegistration(),
                message.getProcessorMillicores(),
                message.getLeaving(),
                message.getRound(),
                held,
                RoomMessages.decode(message),
                message.getSentMillis());
    }

    /**
     * Encodes a job.
     *
     * @param dispatcherMillis the newest time of the dispatcher's clock that this host has read; 0 if none
     */
    static PoolJobRequest encode(PooledJob job, long dispatcherMillis) {
        TaskRequirements shape = job.requirements();
        return PoolJobRequest.newBuilder()
                .setJob(job.id().value())
                .setQueue(job.queuePolicy().name())
                .setService(job.queuePolicy().service())
                .setPriority(job.queuePolicy().priority())
                .setAttempts(job.queuePolicy().maxAttempts())
                .setStretch(job.queuePolicy().stretch())
                .setTargetLatencyMillis(job.queuePolicy().targetLatencyMillis())
                .setPayload(job.payload())
                .setTasks(job.tasks())
                .setCpuMillicores(shape.cpuMillicores())
                .setMemoryMegabytes(shape.memoryMegabytes())
                .setGpus(shape.gpus())
                .setEstimateMillis(shape.estimateMillis())
                .setLabel(shape.label())
                .setRack(shape.rack())
                .setMaxPerServer(shape.maxPerServer())
                .setAgeMillis(job.ageMillis())
                .setPatienceMillis(job.callerTimeoutMillis())
                .setDispatcherMillis(dispatcherMillis)
                .build();
    }

    static PooledJob decode(PoolJobRequest message) {
        return new PooledJob(
                new CallerJobId(message.getJob()),
                new QueuePolicy(
                        message.getQueue(),
                        message.getService(),
                        message.getPriority(),
                        message.getAttempts(),
                        message.getStretch(),
                        message.getTargetLatencyMillis()),
                message.getPayload(),
                message.getTasks(),
                new TaskRequirements(
                        message.getCpuMillicores(),
                        message.getMemoryMegabytes(),
                        message.getGpus(),
                        message.getEstimateMillis(),
                        message.getLabel(),
                        message.getRack(),
                        message.getMaxPerServer()),
                message.getAgeMillis(),
                message.getPatienceMillis());
    }

    static PoolJobCheck encode(Collection<CallerJobId> jobs) {
        PoolJobCheck.Builder message = PoolJobCheck.newBuilder();
        jobs.forEach(job -> message.addJob(job.value()));
        return message.build();
    }

    /**
     * Decodes a check of jobs or the reply to one.
     *
     * @throws IllegalArgumentException if the frame has another type or a job id is invalid
     */
    static Set<CallerJobId> decodeCheck(Frame frame) {
        if (frame.getBodyCase() != Frame.BodyCase.POOL_JOB_CHECK) {
            throw new IllegalArgumentException("frame of type " + frame.getBodyCase() + " instead of a check of jobs");
        }
        return frame.getPoolJobCheck().getJobList().stream()
                .map(CallerJobId::new)
                .collect(Collectors.toUnmodifiableSet());
    }

    static PoolJobReply encode(JobOutcome outcome) {
        return PoolJobReply.newBuilder()
                .setOutcome(PoolJobReply.Outcome.valueOf(outcome.kind().name()))
                .setReason(outcome.reason())
                .setRetryAfterMillis(outcome.retryAfterMillis())
                .setCancelled(outcome.cancelled())
                .build();
    }

    /**
     * Decodes the reply to a job.
     *
     * @throws IllegalArgumentException if the frame has another type or an unknown outcome
     */
    static JobOutcome decodeOutcome(Frame reply) {
        if (reply.getBodyCase() != Frame.BodyCase.POOL_JOB_REPLY) {
            // Without this check, the defaults of an absent message would stand for a completed job.
            throw new IllegalArgumentException("reply of type " + reply.getBodyCase());
        }
        return decode(reply.getPoolJobReply());
    }

    static JobOutcome decode(PoolJobReply message) {
        return new JobOutcome(
                JobOutcome.Kind.valueOf(message.getOutcome().name()),
                message.getReason(),
                message.getRetryAfterMillis(),
                message.getCancelled());
    }
}
